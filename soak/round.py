"""One round of the soak: a deployment, and the faults of one seed."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

from soak.deployment import Deployment
from soak.faults import run_faults

# The platform's promise: so long after the last fault work is served again.
RECOVERY_S = 12.0
SERVED_S = 5.0
# Share of the requests after the recovery that has to be answered.
MIN_SERVED = 0.25


@dataclass(frozen=True, slots=True)
class Report:
    """What one round has shown."""

    seed: int
    breaches: tuple[str, ...]
    counts: Counter
    folder: Path


async def run_round(
    seed: int, seconds: float, folder: Path, slot: int, recovery: float = RECOVERY_S
) -> Report:
    """Run the faults of `seed` for a time, and return what was seen.

    Parameters
    ----------
    folder : Path
        Takes the settings and logs of the processes.
    slot : int
        Differs between rounds that run at the same time.
    """
    generator = Random(seed)
    deployment = Deployment(slot, folder, Random(seed + 1))
    promises = deployment.promises
    try:
        await deployment.start()
        await run_faults(deployment, generator, seconds, recovery)
        before = Counter(promises.counts)
        await run_faults(deployment, generator, 0.0, SERVED_S)
    finally:
        await deployment.stop()
    served = promises.counts["answered"] - before["answered"]
    lost = sum(
        promises.counts[name] - before[name] for name in ("not-opened", "unanswered")
    )
    if served < MIN_SERVED * (served + lost) or not served:
        promises.break_promise("RECOVER", "all", f"{served} served, {lost} lost")
    return Report(seed, tuple(promises.breaches), promises.counts, folder)
