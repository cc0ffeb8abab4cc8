"""Run the soak test: ``python -m soak --seed 1 --minutes 0.5 --rounds 3``."""

import sys
from argparse import ArgumentParser
from asyncio import gather, run
from collections import Counter
from pathlib import Path
from tempfile import mkdtemp

from soak.round import Report, run_round
from tests.platform_process import restore_hangup_of_children

# Breaches of each rule by one process or connection that are printed.
MAX_PRINTED = 4


def parse_arguments(arguments: list[str]):
    """Parse the command-line arguments."""
    parser = ArgumentParser("soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first round")
    parser.add_argument(
        "--minutes",
        type=float,
        default=0.5,
        help="duration of the faults in each round",
    )
    parser.add_argument(
        "--rounds", type=int, default=1, help="number of rounds, with consecutive seeds"
    )
    parser.add_argument(
        "--jobs", type=int, default=1, help="rounds that run in parallel"
    )
    parser.add_argument(
        "--slot",
        type=int,
        default=0,
        help="third octet of the first job's addresses; must differ from other soaks",
    )
    return parser.parse_args(arguments)


def print_report(report: Report) -> None:
    """Print the result of one round and the first breaches of each subject."""
    counts = " ".join(f"{name}={n}" for name, n in sorted(report.counts.items()))
    state = f"BROKEN {len(report.breaches)}" if report.breaches else "held"
    print(f"seed {report.seed}: {state}; {counts}", flush=True)
    path = report.folder / "breaches.txt"
    path.write_text("".join(f"{breach}\n" for breach in report.breaches))
    printed_by_subject = Counter()
    for breach in report.breaches:
        subject = " ".join(breach.split(maxsplit=3)[1:3])
        printed_by_subject[subject] += 1
        if printed_by_subject[subject] <= MAX_PRINTED:
            print(f"  {breach}", flush=True)
    if report.breaches:
        print(f"  all breaches: {path}, beside the logs", flush=True)


async def run_rounds(options) -> int:
    """Run all rounds and return the number of rounds with a breach."""
    seeds = list(range(options.seed, options.seed + options.rounds))
    broken = 0
    for first in range(0, len(seeds), options.jobs):
        reports = await gather(
            *(
                run_round(
                    seed, 60.0 * options.minutes, Path(mkdtemp()), options.slot + job
                )
                for job, seed in enumerate(seeds[first : first + options.jobs])
            )
        )
        for report in reports:
            print_report(report)
            broken += bool(report.breaches)
    print(f"{len(seeds)} seeds, {broken} broken")
    return broken


if __name__ == "__main__":
    restore_hangup_of_children()
    sys.exit(bool(run(run_rounds(parse_arguments(sys.argv[1:])))))
