"""One round of the soak: a deployment under the faults of one seed."""

from asyncio import all_tasks, current_task, get_running_loop
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

from soak.deployment import Deployment
from soak.faults import run_faults

# The platform promises to serve requests again within this time after the last
# fault.
RECOVERY_S = 12.0
RECOVERY_CHECK_S = 5.0
# Share of the requests after the recovery that must be answered.
MIN_ANSWERED_SHARE = 0.25
# Allowance in the time limit of a round for its start, its stop and the end of
# its last faults.
ROUND_ALLOWANCE_S = 60.0


@dataclass(frozen=True, slots=True)
class Report:
    """The result of one round."""

    seed: int
    breaches: tuple[str, ...]
    counts: Counter
    folder: Path


async def run_round(
    seed: int, seconds: float, folder: Path, slot: int, recovery: float = RECOVERY_S
) -> Report:
    """Run the faults of `seed` for `seconds` and return the result.

    Parameters
    ----------
    folder : Path
        Directory for the settings and logs of the processes.
    slot : int
        Third octet of the addresses, which differs between parallel rounds.
    """
    generator = Random(seed)
    deployment = Deployment(slot, folder, Random(seed + 1))
    promises = deployment.promises
    limit = seconds + recovery + RECOVERY_CHECK_S + ROUND_ALLOWANCE_S
    watchdog = get_running_loop().call_later(
        limit, _cancel_hanging_round, current_task(), folder
    )
    try:
        await deployment.start()
        await run_faults(deployment, generator, seconds, recovery)
        before = Counter(promises.counts)
        await run_faults(deployment, generator, 0.0, RECOVERY_CHECK_S)
    finally:
        await deployment.stop()
        watchdog.cancel()
    deployment.check_logs()
    answered = promises.counts["answered"] - before["answered"]
    failed = sum(
        promises.counts[name] - before[name] for name in ("not-opened", "unanswered")
    )
    if answered < MIN_ANSWERED_SHARE * (answered + failed) or not answered:
        promises.record_breach(
            "RECOVER",
            "all",
            f"after the recovery {answered} requests answered, {failed} failed",
        )
    return Report(seed, tuple(promises.breaches), promises.counts, folder)


def _cancel_hanging_round(round_task, folder: Path) -> None:
    """Write the stack of each task to a file and cancel the round."""
    path = folder / "tasks.txt"
    with path.open("w") as file:
        for task in all_tasks():
            task.print_stack(file=file)
    round_task.cancel(f"round exceeded its time limit, stacks of its tasks in {path}")
