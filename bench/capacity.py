"""Measures the costs behind the capacity page and rewrites its tables.

Usage: ``python -m bench.capacity [--page docs/CAPACITY.md]``. Run it on an
otherwise idle machine.
"""

from argparse import ArgumentParser
from os import cpu_count, getloadavg
from pathlib import Path
from platform import python_version
from time import perf_counter

from bench.capacity_control import spread_seconds
from bench.capacity_measures import base_mb
from bench.capacity_slopes import measure_slopes
from bench.capacity_tables import (
    CapacityEstimate,
    fault_table,
    limit_table,
    message_table,
    role_table,
    slope_table,
)
from bench.capacity_target import PROCESSES

PAGE = Path("docs/CAPACITY.md")
BEGIN = "<!-- measured -->"
END = "<!-- end -->"
FAILED_SHARE = 0.3


def replace_measured(page: str, measured: str) -> str:
    """Return `page` with the text between its markers replaced.

    Raises
    ------
    ValueError
        If a marker is missing or repeated, or the markers are swapped.
    """
    if page.count(BEGIN) != 1 or page.count(END) != 1:
        raise ValueError(f"expected exactly one {BEGIN} and one {END} in the page")
    head, rest = page.split(BEGIN)
    if END not in rest:
        raise ValueError(f"expected {BEGIN} before {END} in the page")
    tail = rest.split(END)[1]
    return f"{head}{BEGIN}\n\n{measured}\n\n{END}{tail}"


def measure_tables() -> str:
    """Measure all costs and return the tables of the page."""
    started_at, load = perf_counter(), getloadavg()[0]
    base_mb_by_role = {role: base_mb(role) for role in ("balancer", "agent")}
    slopes = measure_slopes()
    known_failed_s = spread_seconds(PROCESSES, FAILED_SHARE, known_failed=True)
    newly_failed_s = spread_seconds(PROCESSES, FAILED_SHARE)
    work = CapacityEstimate(slopes, base_mb_by_role)
    seconds = perf_counter() - started_at
    bases = " and ".join(
        f"{mb:.0f} MB for the {r}" for r, mb in base_mb_by_role.items()
    )
    return "\n\n".join(
        [
            f"Last run: `python -m bench.capacity`, Python {python_version()}, "
            f"{cpu_count()} "
            f"cores, load {load:.1f} at its start and {getloadavg()[0]:.1f} at its "
            f"end, {seconds:.0f} s. A new process takes {bases}.",
            "### By role",
            role_table(work),
            "### By kind of message",
            message_table(work),
            "### Against the limits",
            limit_table(work, known_failed_s, newly_failed_s),
            "### Losses, restarts and starts",
            fault_table(work),
            "### Slopes",
            slope_table(slopes),
        ]
    )


def main() -> None:
    """Measure, then rewrite the tables of the page."""
    parser = ArgumentParser(prog="python -m bench.capacity", description=__doc__)
    parser.add_argument("--page", type=Path, default=PAGE)
    page = parser.parse_args().page
    replace_measured(page.read_text(), "")
    tables = measure_tables()
    page.write_text(replace_measured(page.read_text(), tables))


if __name__ == "__main__":
    main()
