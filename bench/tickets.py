"""Measures the memory and CPU time of TicketRegistry and Admission.

Usage: python -m bench.tickets
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import process_time
from tracemalloc import get_traced_memory, start, stop

import numpy as np

from lycheeglade.admission import START, Admission, AdmissionLimits
from lycheeglade.flow import FlowKey
from lycheeglade.ticket import TicketRegistry

SIZES = (5_000, 10_000, 20_000, 40_000)
ADMISSION_SIZES = (250, 500, 1000, 2000)
TICKETS_PER_FLOW = 2
OUTCOME = bytes(64)
DIGEST = bytes(16)
CYCLES = 20_000
REPEATS = 5


@dataclass(frozen=True, slots=True)
class Fit:
    """Straight line fitted to measured values.

    Attributes
    ----------
    residual : float
        Largest distance from the line, as a share of the value.
    """

    slope: float
    intercept: float
    residual: float


def fit_line(sizes, values) -> Fit:
    """Return the least-squares line of `values` over `sizes`."""
    slope, intercept = np.polyfit(sizes, values, 1)
    fitted = np.polyval((slope, intercept), sizes)
    residual = np.max(np.abs(fitted - values) / np.asarray(values))
    return Fit(slope, intercept, residual)


def make_flow(number: int) -> FlowKey:
    """Return the key of flow `number`."""
    return FlowKey("phrasebook", f"10.0.{number >> 8 & 255}.{number & 255}", number)


def make_unused(size: int) -> TicketRegistry:
    """Return a registry with `size` unused tickets."""
    registry = TicketRegistry(b"key", "target", 1, max_outcomes=2 * size)
    for number in range(size):
        registry.issue(make_flow(number // TICKETS_PER_FLOW), 0.0)
    return registry


def make_used(size: int) -> TicketRegistry:
    """Return a registry with `size` used tickets and their outcomes."""
    registry = TicketRegistry(b"key", "target", 1, max_outcomes=2 * size)
    for number in range(size):
        run_once(registry, make_flow(number // TICKETS_PER_FLOW), 0.0)
    return registry


def run_once(registry: TicketRegistry, flow: FlowKey, now: float) -> None:
    """Issue a ticket and run one request with it."""
    ticket = registry.issue(flow, now)
    registry.decide(ticket, flow, DIGEST, now)
    registry.begin(ticket, bytes(DIGEST), now)
    registry.finish(ticket, bytes(bytearray(OUTCOME)), now)


def make_admissions(size: int) -> list[Admission]:
    """Return `size` admissions with 5 requests each, 3 of them running."""
    limits = AdmissionLimits(slots=3)
    admissions = [Admission(limits, 0.0, Random(1)) for _ in range(size)]
    for admission in admissions:
        for request_id in range(5):
            admission.offer(request_id, 0.0, 10.0)
    return admissions


def measure_memory(make: Callable, size: int) -> int:
    """Return the bytes that the result of `make` occupies."""
    start()
    before, _ = get_traced_memory()
    made = make(size)
    after, _ = get_traced_memory()
    stop()
    assert made
    return after - before


def measure_ticket_time(size: int) -> float:
    """Return the CPU seconds per request in a full registry."""
    registry = TicketRegistry(
        b"key", "target", 1, max_outcomes=size, lifetime=float(size)
    )
    flows = [make_flow(number) for number in range(1000)]
    for number in range(size):
        run_once(registry, flows[number % 1000], float(number))
    started_at = process_time()
    for number in range(size, size + CYCLES):
        run_once(registry, flows[number % 1000], float(number))
    return (process_time() - started_at) / CYCLES


def measure_admission_time(queued: int) -> float:
    """Return the CPU seconds per request behind `queued` queued requests."""
    admission = Admission(AdmissionLimits(slots=3, max_queue=1000), 0.0, Random(1))
    now = 0.0
    for request_id in range(queued + 3):
        admission.offer(request_id, now, 1e9)
    running = [0, 1, 2]
    started_at = process_time()
    for request_id in range(queued + 3, queued + 3 + CYCLES):
        now += 0.01
        admission.finish(running.pop(0), now)
        running += admission.start_next(now)
        if admission.offer(request_id, now, 1e9) == START:
            running.append(request_id)
    return (process_time() - started_at) / CYCLES


def min_time_us(measure: Callable, size: int) -> float:
    """Return the minimum of REPEATS measured times, in microseconds."""
    return 1e6 * min(measure(size) for _ in range(REPEATS))


def report(title: str, unit: str, sizes, values) -> None:
    """Print values and the line fitted to them."""
    fit = fit_line(sizes, values)
    print(f"{title} ({unit})")
    for size, value in zip(sizes, values, strict=True):
        print(f"  {size:>8} {value:14.2f}")
    print(
        f"  slope {fit.slope:.4g}, intercept {fit.intercept:.4g},"
        f" largest residual {100 * fit.residual:.1f}%"
    )


def main():
    """Print all values and their fits."""
    for title, make, sizes in (
        ("TicketRegistry, unused tickets", make_unused, SIZES),
        ("TicketRegistry, used tickets with 64-byte outcomes", make_used, SIZES),
        ("Admission with 5 requests", make_admissions, ADMISSION_SIZES),
    ):
        report(title, "bytes", sizes, [measure_memory(make, size) for size in sizes])
    times = [min_time_us(measure_ticket_time, size) for size in SIZES]
    report("TicketRegistry, issue + decide + begin + finish", "us", SIZES, times)
    queues = (0, 64, 128, 256)
    times = [min_time_us(measure_admission_time, queued) for queued in queues]
    report("Admission, offer + start + finish by queue length", "us", queues, times)


if __name__ == "__main__":
    main()
