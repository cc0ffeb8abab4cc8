"""Checks of the outcomes that a trace expects."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from lycheeglade.errors import TraceError
from lycheeglade.recording import is_recording, parse_recording
from lycheeglade.replay import run_trace
from lycheeglade.replay_caller import Caller, CallerRequest, Result
from lycheeglade.replay_recording import format_verdict, replay_recording
from lycheeglade.replay_world import World
from lycheeglade.trace import Expect, Trace, TraceLine, parse_trace

MAX_SHOWN_FAULTS = 5


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of the check of one expected outcome.

    Attributes
    ----------
    line : int
        Line of the trace that expects the outcome.
    faults : tuple of str
        Descriptions of what violated the outcome, each with the line of the
        responsible event if there is one.
    """

    line: int
    name: str
    is_held: bool
    measured: float
    limit: float
    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Measurement:
    """Value that a check compares with the limit, and what caused it."""

    value: float
    faults: tuple[str, ...] = ()


Check = Callable[[World, Expect], Measurement]


def replay_trace(trace: Trace) -> list[Outcome]:
    """Replay a trace and check the outcomes that it expects.

    Raises
    ------
    ExceptionGroup
        Contains a `TraceError` for each expected outcome with an unknown name.
    """
    _check_names(trace)
    outcomes = []
    run_trace(trace, lambda world, line: outcomes.append(_check(world, line)))
    return outcomes


def _check(world: World, line: TraceLine) -> Outcome:
    expect = line.event
    measurement = CHECKS_BY_NAME[expect.outcome](world, expect)
    is_held = measurement.value <= expect.limit
    faults = () if is_held else measurement.faults[:MAX_SHOWN_FAULTS]
    return Outcome(
        line.number, expect.outcome, is_held, measurement.value, expect.limit, faults
    )


def _check_names(trace: Trace) -> None:
    known = ", ".join(sorted(CHECKS_BY_NAME))
    errors = [
        TraceError(
            trace.source,
            line.number,
            f"outcome: {line.event.outcome!r} is not one of {known}",
        )
        for line in trace.lines
        if isinstance(line.event, Expect) and line.event.outcome not in CHECKS_BY_NAME
    ]
    if errors:
        raise ExceptionGroup(f"{trace.source}: invalid trace", errors)


def format_outcome(trace: Trace, outcome: Outcome) -> list[str]:
    """Return lines of text that report the result of an expected outcome."""
    verdict = "held" if outcome.is_held else "BROKEN"
    text = (
        f"{trace.source}:{outcome.line}: {outcome.name} {verdict}"
        f" ({outcome.measured:g}, limit {outcome.limit:g})"
    )
    return [text, *(f"    {fault}" for fault in outcome.faults)]


def _callers(world: World, expect: Expect) -> Iterator[Caller]:
    for flow, caller in world.callers_by_flow.items():
        if not expect.services or flow.service in expect.services:
            yield caller


def _requests(world: World, expect: Expect) -> Iterator[tuple[Caller, CallerRequest]]:
    for caller in _callers(world, expect):
        for request in caller.requests:
            if expect.since <= request.sent_at <= _until(expect):
                yield caller, request


def _until(expect: Expect) -> float:
    return expect.at if expect.until is None else expect.until


def _feed_breaks(world: World, expect: Expect) -> Measurement:
    """Count the breaks in feeds that callers detected."""
    faults = [
        f"line {caller.feed.line}: {caller.flow} {reason} at {at:.3f} s"
        for caller in _callers(world, expect)
        if caller.feed is not None
        for at, reason in caller.feed.faults
        if at >= expect.since
    ]
    return Measurement(len(faults), tuple(faults))


def _feed_recovery(world: World, expect: Expect) -> Measurement:
    """Measure the longest time in seconds from a break to the next item."""
    worst = 0.0
    faults = []
    for caller in _callers(world, expect):
        if caller.feed is None:
            continue
        for at, reason in caller.feed.faults:
            later = [moment for moment in caller.feed.recovered_at if moment >= at]
            seconds = min(later, default=world.now) - at
            worst = max(worst, seconds)
            faults.append(
                f"line {caller.feed.line}: {caller.flow} {reason}, {seconds:.3f} s"
            )
    return Measurement(worst, tuple(faults))


def _stale_feeds(world: World, expect: Expect) -> Measurement:
    """Count open feeds without an item for three heartbeat periods."""
    faults = []
    for caller in _callers(world, expect):
        feed = caller.feed
        if feed is None or feed.closed:
            continue
        if world.now - feed.last_received_at > 3 * caller.heartbeat:
            faults.append(
                f"line {feed.line}: {caller.flow} "
                f"last item at {feed.last_received_at:.3f} s"
            )
    return Measurement(len(faults), tuple(faults))


def _misdelivered(world: World, expect: Expect) -> Measurement:
    """Count datagrams that reached the wrong service or caller."""
    faults = [
        f"{upstream.service}/{upstream.target_id} received {what} at {at:.3f} s"
        for upstream in world.upstreams_by_key.values()
        for at, what in upstream.misdelivered
    ]
    faults += [
        f"{caller.flow} received {what} at {at:.3f} s"
        for caller in world.callers_by_flow.values()
        for at, what in caller.misdelivered
    ]
    return Measurement(len(faults), tuple(faults))


def _count_results(world: World, expect: Expect, *results) -> Measurement:
    faults = [
        f"line {request.line}: {request.request_id} {request.result}"
        for _, request in _requests(world, expect)
        if request.result in results
    ]
    return Measurement(len(faults), tuple(faults))


def _unanswered(world: World, expect: Expect) -> Measurement:
    """Count requests that got no complete and correct answer."""
    results = (Result.WRONG, Result.GIVEN_UP, Result.UNKNOWN, Result.NOT_RUN, None)
    return _count_results(world, expect, *results)


def _unfinished(world: World, expect: Expect) -> Measurement:
    """Count requests without any final answer."""
    return _count_results(world, expect, Result.WRONG, Result.GIVEN_UP, None)


def _unknown(world: World, expect: Expect) -> Measurement:
    """Count requests whose outcome is unknown to the caller."""
    return _count_results(world, expect, Result.UNKNOWN)


def _runs_by_id(world: World) -> dict[str, list[float]]:
    runs: dict[str, list[float]] = {}
    for upstream in world.upstreams_by_key.values():
        for run in upstream.runs:
            runs.setdefault(run.request_id, []).append(run.at)
    return runs


def _double_runs(world: World, expect: Expect) -> Measurement:
    """Count non-repeatable requests that ran more than once."""
    runs = _runs_by_id(world)
    faults = [
        f"line {request.line}: {request.request_id} ran at {runs[request.request_id]}"
        for _, request in _requests(world, expect)
        if not request.repeatable and len(runs.get(request.request_id, ())) > 1
    ]
    return Measurement(len(faults), tuple(faults))


def _false_refusals(world: World, expect: Expect) -> Measurement:
    """Count refusals that claim "not run" of a request that had run."""
    runs = _runs_by_id(world)
    faults = [
        f"line {request.line}: {request.request_id} refused at {at:.3f} s after a run"
        for _, request in _requests(world, expect)
        if not request.repeatable
        for at in request.refusals
        if any(run < at for run in runs.get(request.request_id, ()))
    ]
    return Measurement(len(faults), tuple(faults))


def _answered_without_run(world: World, expect: Expect) -> Measurement:
    """Count requests that were answered though they never ran."""
    runs = _runs_by_id(world)
    faults = [
        f"line {request.line}: {request.request_id} answered, not run"
        for _, request in _requests(world, expect)
        if request.result is Result.ANSWERED and request.request_id not in runs
    ]
    return Measurement(len(faults), tuple(faults))


def _leaving_work(world: World, expect: Expect) -> Measurement:
    """Measure for how many seconds a leaving target still got new work."""
    worst = 0.0
    faults = []
    for key, spans in world.leaving_spans_by_key.items():
        upstream = world.upstreams_by_key[key]
        times = [run.at for run in upstream.runs] + upstream.registered_at
        for span in spans:
            end = world.now if span.end is None else span.end
            delays = [at - span.start for at in times if span.start < at <= end]
            late = max(delays, default=0.0)
            worst = max(worst, late)
            faults.append(f"{key.service}/{key.target_id}: {late:.3f} s")
    return Measurement(worst, tuple(faults))


def _configuration_lag(world: World, expect: Expect) -> Measurement:
    """Measure the longest time in seconds that a process took for a change."""
    worst = 0.0
    faults = []
    for at, name, revision in world.published:
        for process_name, process in world.processes_by_name.items():
            if not process.is_alive:
                continue
            applied = [
                when
                for when, applied_name, applied_revision in process.revisions
                if applied_name == name and applied_revision >= revision
            ]
            lag = (min(applied) if applied else world.now) - max(at, process.started_at)
            worst = max(worst, lag)
            if lag > expect.limit:
                faults.append(
                    f"{process_name}: {name} revision {revision}: {lag:.3f} s"
                )
    return Measurement(worst, tuple(faults))


def _reverted(world: World, expect: Expect) -> Measurement:
    """Count changes of a value to an older revision."""
    faults = []
    for process_name, process in world.processes_by_name.items():
        latest: dict[str, int] = {}
        for at, name, revision in process.revisions:
            if revision < latest.get(name, 0):
                faults.append(f"{process_name}: {name} reverted at {at:.3f} s")
            latest[name] = revision
    return Measurement(len(faults), tuple(faults))


def _imbalance(world: World, expect: Expect) -> Measurement:
    """Measure the ratio of maximum to mean busy time per slot."""
    busy = Counter()
    for key, upstream in world.upstreams_by_key.items():
        if not expect.services or key.service in expect.services:
            busy[key] = upstream.busy / upstream.slots
    mean = sum(busy.values()) / len(busy) if busy else 0.0
    worst = max(busy.values(), default=0.0) / mean if mean else 0.0
    faults = (
        f"{key.service}/{key.target_id}: {seconds:.3f} s per slot"
        for key, seconds in busy.most_common()
    )
    return Measurement(worst, tuple(faults))


CHECKS_BY_NAME: dict[str, Check] = {
    "feed-breaks": _feed_breaks,
    "feed-recovery-seconds": _feed_recovery,
    "stale-feeds": _stale_feeds,
    "misdeliveries": _misdelivered,
    "unanswered": _unanswered,
    "unfinished": _unfinished,
    "unknown-outcomes": _unknown,
    "double-runs": _double_runs,
    "false-refusals": _false_refusals,
    "answered-without-run": _answered_without_run,
    "leaving-work-seconds": _leaving_work,
    "configuration-lag-seconds": _configuration_lag,
    "reverted-values": _reverted,
    "imbalance": _imbalance,
}


def replay_files(paths: Iterable[Path]) -> int:
    """Replay trace files and print the result of each expected outcome.

    Returns
    -------
    int
        Number of failed outcomes. A recording has one outcome, which is that
        the replayed decisions match the recorded ones.
    """
    broken = 0
    for path in paths:
        text = path.read_text(encoding="utf-8")
        if is_recording(text):
            recording = parse_recording(text, str(path))
            verdict = replay_recording(recording)
            broken += verdict.fault is not None
            print("\n".join(format_verdict(recording, verdict)))
            continue
        trace = parse_trace(text, str(path))
        for outcome in replay_trace(trace):
            broken += not outcome.is_held
            print("\n".join(format_outcome(trace, outcome)))
    return broken
