"""Replays a trace through the daemons' cores in virtual time."""

from collections.abc import Callable
from functools import partial
from random import Random

from lycheeglade import replay_caller
from lycheeglade.agent_state import Agent
from lycheeglade.errors import ConfigurationError
from lycheeglade.recorder import Recorder
from lycheeglade.replay_network import apply_behaviour, get_or_create_caller
from lycheeglade.replay_process import apply_value, start_process
from lycheeglade.replay_world import LeavingSpan, World, build_snapshot, deliver
from lycheeglade.served_target import TargetKey
from lycheeglade.spread import build_view
from lycheeglade.trace import (
    CloseFeed,
    Cut,
    Event,
    Expect,
    Forget,
    Heal,
    Kill,
    OpenFeed,
    Options,
    Pause,
    Publish,
    Request,
    Resume,
    Start,
    Stop,
    Trace,
    TraceLine,
    Upstream,
)
from lycheeglade.value import Value, parse_value
from lycheeglade.view import Host, View


def run_trace(
    trace: Trace,
    on_expect: Callable[[World, TraceLine], None] | None = None,
    record: Callable[[Host, int, float], Recorder] | None = None,
) -> World:
    """Replay a trace up to the time of its last line.

    Parameters
    ----------
    on_expect : callable, optional
        Called with the world and each `Expect` line at the line's time.
    record : callable, optional
        See `World`.
    """
    world = World(trace.options, Random(trace.options.seed), record)
    for line in trace.lines:
        if isinstance(line.event, Options):
            continue
        if isinstance(line.event, Expect):
            if on_expect is not None:
                world.timers.call_at(
                    line.event.at, lambda now, line=line: on_expect(world, line)
                )
            continue
        handler = partial(apply_event, world, line.event, line.number)
        world.timers.call_at(line.event.at, handler)
    end = trace.lines[-1].event.at if trace.lines else 0.0
    run_until(world, end)
    return world


def run_until(world: World, end: float) -> None:
    """Run all timers that are due up to `end`."""
    while True:
        due = world.timers.next_due()
        if due is None or due > end:
            break
        world.now = max(world.now, due)
        world.timers.run_due(world.now)
    world.now = max(world.now, end)


def apply_event(world: World, event: Event, line: int, now: float) -> None:
    """Apply one line of the trace."""
    handler = HANDLERS_BY_EVENT[type(event)]
    handler(world, event, line, now)


def _handle_publish(world: World, event: Publish, line: int, now: float) -> None:
    value = Value(event.name, event.revision, event.text)
    known = world.values_by_name.get(event.name)
    is_newer = known is None or known.revision < event.revision
    if is_newer and _is_valid(value):
        world.values_by_name[event.name] = value
        world.published.append((now, event.name, event.revision))
    names = event.to or tuple(world.processes_by_name)
    for name in names:
        process = world.processes_by_name.get(name)
        if process is not None:
            deliver(world, process, partial(apply_value, world, process, value))
    if event.name.startswith("hosts/"):
        _start_new_hosts(world, now)
    _record_leaving_spans(world, now)


def _is_valid(value: Value) -> bool:
    try:
        parse_value(value)
    except ConfigurationError:
        return False
    return True


def _start_new_hosts(world: World, now: float) -> None:
    view, _ = build_view(build_snapshot(world), View())
    for host in view.hosts_by_id.values():
        if host.host_id not in world.processes_by_name:
            start_process(world, host, now)


def _record_leaving_spans(world: World, now: float) -> None:
    """Record the time spans in which each target accepts no new work."""
    view, _ = build_view(build_snapshot(world), View())
    live = {
        TargetKey(service.name, target.target_id)
        for service in view.services_by_name.values()
        for target in service.targets_by_id.values()
        if target.state.value == "live" and service.permits(target.zone)
    }
    for key in world.upstreams_by_key:
        spans = world.leaving_spans_by_key.setdefault(key, [])
        is_leaving = bool(spans) and spans[-1].end is None
        if key in live and is_leaving:
            spans[-1] = LeavingSpan(spans[-1].start, now)
        elif key not in live and not is_leaving:
            spans.append(LeavingSpan(now))


def _handle_upstream(world: World, event: Upstream, line: int, now: float) -> None:
    key = TargetKey(event.service, event.target)
    world.behaviours_by_key[key] = event
    upstream = world.upstreams_by_key.get(key)
    if upstream is not None:
        apply_behaviour(upstream, event)


def _handle_open_feed(world: World, event: OpenFeed, line: int, now: float) -> None:
    caller = get_or_create_caller(world, event.service, event.caller)
    replay_caller.open_feed(caller, line, now)


def _handle_close_feed(world: World, event: CloseFeed, line: int, now: float) -> None:
    replay_caller.close_feed(
        get_or_create_caller(world, event.service, event.caller), now
    )


def _handle_request(world: World, event: Request, line: int, now: float) -> None:
    caller = get_or_create_caller(world, event.service, event.caller)
    replay_caller.send_request(caller, event.id, event.repeatable, line, now)


def _handle_forget(world: World, event: Forget, line: int, now: float) -> None:
    caller = get_or_create_caller(world, event.service, event.caller)
    world.forgotten_flows.add(caller.flow)


def _handle_kill(world: World, event: Kill, line: int, now: float) -> None:
    process = world.processes_by_name[event.process]
    process.is_alive = False
    process.ended_at = now


def _handle_start(world: World, event: Start, line: int, now: float) -> None:
    process = world.processes_by_name[event.process]
    process.is_alive = False
    start_process(world, process.host, now)


def _handle_stop(world: World, event: Stop, line: int, now: float) -> None:
    process = world.processes_by_name[event.process]
    process.is_stopping = True
    if isinstance(process.state, Agent):
        deliver(world, process, process.inputs.begin_stop)


def _handle_pause(world: World, event: Pause, line: int, now: float) -> None:
    world.processes_by_name[event.process].is_paused = True


def _handle_resume(world: World, event: Resume, line: int, now: float) -> None:
    process = world.processes_by_name[event.process]
    process.is_paused = False
    deferred_actions, process.deferred_actions = process.deferred_actions, []
    for action in deferred_actions:
        deliver(world, process, action)


def _handle_cut(world: World, event: Cut, line: int, now: float) -> None:
    world.cuts.add((event.source, event.destination))


def _handle_heal(world: World, event: Heal, line: int, now: float) -> None:
    world.cuts.discard((event.source, event.destination))


HANDLERS_BY_EVENT: dict[type[Event], Callable[[World, Event, int, float], None]] = {
    Publish: _handle_publish,
    Upstream: _handle_upstream,
    OpenFeed: _handle_open_feed,
    CloseFeed: _handle_close_feed,
    Request: _handle_request,
    Kill: _handle_kill,
    Start: _handle_start,
    Stop: _handle_stop,
    Pause: _handle_pause,
    Resume: _handle_resume,
    Cut: _handle_cut,
    Heal: _handle_heal,
    Forget: _handle_forget,
}
