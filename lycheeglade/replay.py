"""Replays a trace through the decisions of the daemons, in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from lycheeglade import agent as agent_core
from lycheeglade import balancer as balancer_core
from lycheeglade import replay_caller, replay_upstream
from lycheeglade.address import Address
from lycheeglade.agent_state import Agent, AgentActions
from lycheeglade.balancer import Balancer, BalancerActions
from lycheeglade.errors import ConfigurationError
from lycheeglade.flow import FlowKey
from lycheeglade.packet import encode_packet
from lycheeglade.replay_caller import Caller
from lycheeglade.replay_upstream import UpstreamModel
from lycheeglade.served_target import TargetKey
from lycheeglade.spread import Snapshot, advance, build_view
from lycheeglade.timer import TimerQueue
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
from lycheeglade.value import Value, read_value
from lycheeglade.view import Host, Role, View

MAX_AGENT_FLOWS = 10_000
FABRIC = "fabric"


@dataclass(slots=True)
class Process:
    """A balancer or an agent in the replay.

    Attributes
    ----------
    inbox : list of callable
        What arrived while the process was paused.
    revisions : list of tuple
        Time and revision of each view that was in force.
    """

    host: Host
    state: Agent | Balancer
    snapshot: Snapshot
    started_at: float
    view: View = field(default_factory=View)
    is_alive: bool = True
    is_paused: bool = False
    is_stopping: bool = False
    ended_at: float | None = None
    inbox: list[Callable[[float], None]] = field(default_factory=list)
    revisions: list[tuple[float, str, int]] = field(default_factory=list)
    refused_values: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LeavingSpan:
    """Time for which a target was to take no new work; open if no `end`."""

    start: float
    end: float | None = None


@dataclass(slots=True)
class World:
    """State of a replay."""

    options: Options
    generator: Random
    now: float = 0.0
    timers: TimerQueue = field(default_factory=TimerQueue)
    values_by_name: dict[str, Value] = field(default_factory=dict)
    processes_by_name: dict[str, Process] = field(default_factory=dict)
    names_by_address: dict[Address, str] = field(default_factory=dict)
    callers_by_flow: dict[FlowKey, Caller] = field(default_factory=dict)
    callers_by_name: dict[tuple[str, str], Caller] = field(default_factory=dict)
    upstreams_by_key: dict[TargetKey, UpstreamModel] = field(default_factory=dict)
    behaviours_by_key: dict[TargetKey, Upstream] = field(default_factory=dict)
    cuts: set[tuple[str, str]] = field(default_factory=set)
    forgotten: set[FlowKey] = field(default_factory=set)
    counts: dict[tuple[str, str, str], int] = field(default_factory=dict)
    leaving_spans_by_key: dict[TargetKey, list[LeavingSpan]] = field(
        default_factory=dict
    )
    published: list[tuple[float, str, int]] = field(default_factory=list)
    cut_work: int = 0
    kills: list[float] = field(default_factory=list)

    def count(self, name: str, service: str = "", cause: str = "") -> None:
        """Count an event over all processes."""
        key = (name, service, cause)
        self.counts[key] = self.counts.get(key, 0) + 1

    def total(self, name: str, cause: str | None = None) -> int:
        """Return a count over all services, and over all causes if None."""
        return sum(
            count
            for key, count in self.counts.items()
            if key[0] == name and cause in (None, key[2])
        )


def run_trace(
    trace: Trace, on_expect: Callable[[World, TraceLine], None] | None = None
) -> World:
    """Replay a trace up to the time of its last line.

    Parameters
    ----------
    on_expect : callable, optional
        Called with each stated outcome at its time.
    """
    world = World(trace.options, Random(trace.options.seed))
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
    """Run all that is due up to `end`."""
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


def _publish(world: World, event: Publish, line: int, now: float) -> None:
    value = Value(event.name, event.revision, event.text)
    known = world.values_by_name.get(event.name)
    if known is None or known.revision < event.revision:
        world.values_by_name[event.name] = value
        if _is_valid(value):
            world.published.append((now, event.name, event.revision))
    names = event.to or tuple(world.processes_by_name)
    for name in names:
        process = world.processes_by_name.get(name)
        if process is not None:
            deliver(world, process, partial(_take_value, world, process, value))
    if event.name.startswith("hosts/"):
        _start_new_hosts(world, now)
    _note_leaving(world, now)


def _is_valid(value: Value) -> bool:
    try:
        read_value(value)
    except ConfigurationError:
        return False
    return True


def _start_new_hosts(world: World, now: float) -> None:
    view, _ = build_view(_whole_snapshot(world), View())
    for host in view.hosts_by_id.values():
        if host.host_id not in world.processes_by_name:
            _start_process(world, host, now)


def _whole_snapshot(world: World) -> Snapshot:
    revision = max(
        (value.revision for value in world.values_by_name.values()), default=0
    )
    return advance(Snapshot(), world.values_by_name.values(), revision).snapshot


def _note_leaving(world: World, now: float) -> None:
    """Remember since when each target takes no new work."""
    view, _ = build_view(_whole_snapshot(world), View())
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


def _start_process(world: World, host: Host, now: float) -> None:
    generator = Random(world.generator.getrandbits(64))
    name = host.host_id
    if host.role is Role.AGENT:
        state = agent_core.make_agent(
            name,
            host.zone,
            _agent_actions(world, name),
            generator,
            MAX_AGENT_FLOWS,
            now,
        )
    else:
        state = balancer_core.make_balancer(
            name, host.zone, host.packets, _balancer_actions(world, name), generator
        )
    process = Process(host, state, Snapshot(), now)
    world.processes_by_name[name] = process
    world.names_by_address[host.packets] = name
    for value in list(world.values_by_name.values()):
        _take_value(world, process, value, now)
    _tick(world, process, now)


def _take_value(world: World, process: Process, value: Value, now: float) -> None:
    # A single value makes no snapshot complete.
    advanced = advance(process.snapshot, [value], process.snapshot.revision)
    process.snapshot = advanced.snapshot
    view, conflicts = build_view(process.snapshot, process.view)
    process.refused_values += map(str, advanced.errors + conflicts)
    known = process.snapshot.values_by_name.get(value.name)
    process.revisions.append((now, value.name, known.revision if known else 0))
    process.view = view
    if isinstance(process.state, Agent):
        agent_core.update_view(process.state, view, now)
    else:
        balancer_core.update_view(process.state, view)


def _tick(world: World, process: Process, now: float) -> None:
    if not process.is_alive:
        return
    if not process.is_paused:
        core = agent_core if isinstance(process.state, Agent) else balancer_core
        if isinstance(process.state, Agent):
            agent_core.note_view_age(process.state, True, now)
        core.tick(process.state, now)
        if process.is_stopping:
            _end_if_idle(world, process, now)
    world.timers.call_at(
        now + world.options.tick_s, lambda now: _tick(world, process, now)
    )


def _end_if_idle(world: World, process: Process, now: float) -> None:
    is_agent = isinstance(process.state, Agent)
    if is_agent and agent_core.work_left(process.state):
        return
    process.is_alive = False
    process.ended_at = now


def deliver(world: World, process: Process, action: Callable[[float], None]) -> None:
    """Run `action` at a process, after its pause; never if it is dead."""
    if not process.is_alive:
        return
    if process.is_paused:
        process.inbox.append(action)
    else:
        action(world.now)


def transmit(
    world: World, source: str, destination: str, action: Callable[[float], None]
) -> None:
    """Carry a datagram from one process to another, or lose it."""
    options = world.options
    if (source, destination) in world.cuts:
        world.count("lost", "", "cut")
        return
    copies = 1
    if options.loss and world.generator.random() < options.loss:
        copies = 0
    elif options.duplication and world.generator.random() < options.duplication:
        copies = 2
    for _ in range(copies):
        delay = options.latency_s + options.jitter_s * world.generator.random()
        world.timers.call_at(world.now + delay, action)


def _send_to(world: World, source: str, address: Address, datagram: bytes) -> None:
    name = world.names_by_address.get(address)
    if name is None:
        world.count("lost", "", "no-such-address")
        return
    sender = world.processes_by_name[source]

    def arrive(now: float) -> None:
        process = world.processes_by_name[name]
        core = agent_core if isinstance(process.state, Agent) else balancer_core
        deliver(
            world,
            process,
            lambda now: core.receive_datagram(
                process.state, datagram, sender.host.packets, now
            ),
        )

    transmit(world, source, name, arrive)


def _agent_actions(world: World, name: str) -> AgentActions:
    return AgentActions(
        send=lambda address, packet: _send_to(
            world, name, address, encode_packet(packet)
        ),
        send_upstream=lambda key, flow, datagram: _send_upstream(
            world, name, key, datagram
        ),
        close_upstream=lambda key, flow: None,
        count=world.count,
        record=lambda service, work, stage, seconds: None,
    )


def _balancer_actions(world: World, name: str) -> BalancerActions:
    return BalancerActions(
        send=lambda address, datagram: _send_to(world, name, address, datagram),
        answer=lambda service, caller, datagram: _answer_caller(
            world, name, FlowKey(service, caller[0], caller[1]), datagram
        ),
        count=world.count,
    )


def _send_upstream(world: World, name: str, key: TargetKey, datagram: bytes) -> None:
    upstream = world.upstreams_by_key.get(key)
    if upstream is None:
        upstream = _make_upstream(world, name, key)
    replay_upstream.receive(upstream, datagram, world.now)


def _make_upstream(world: World, name: str, key: TargetKey) -> UpstreamModel:
    def send(datagram: bytes) -> None:
        process = world.processes_by_name[name]
        deliver(
            world,
            process,
            lambda now: agent_core.receive_from_upstream(
                process.state, key, None, datagram, now
            ),
        )

    def send_later(datagram: bytes) -> None:
        world.timers.call_at(world.now, lambda now: send(datagram))

    upstream = UpstreamModel(
        key.service, key.target_id, send_later, world.timers.call_at
    )
    world.upstreams_by_key[key] = upstream
    behaviour = world.behaviours_by_key.get(key)
    if behaviour is not None:
        _apply_behaviour(upstream, behaviour)
    return upstream


def _set_upstream(world: World, event: Upstream, line: int, now: float) -> None:
    key = TargetKey(event.service, event.target)
    world.behaviours_by_key[key] = event
    upstream = world.upstreams_by_key.get(key)
    if upstream is not None:
        _apply_behaviour(upstream, event)


def _apply_behaviour(upstream: UpstreamModel, behaviour: Upstream) -> None:
    upstream.service_time = behaviour.service_time_s
    upstream.slots = behaviour.slots
    upstream.feed_period = behaviour.feed_period_s
    if behaviour.is_down and not upstream.is_down:
        upstream.feeds_by_token.clear()
        upstream.waiting.clear()
    upstream.is_down = behaviour.is_down


def _answer_caller(world: World, name: str, flow: FlowKey, datagram: bytes) -> None:
    caller = world.callers_by_flow.get(flow)
    if caller is None or flow in world.forgotten:
        world.count("lost", flow.service, "no-such-caller")
        return
    transmit(
        world, name, FABRIC, lambda now: replay_caller.receive(caller, datagram, now)
    )


def _send_to_fabric(world: World, caller: Caller, datagram: bytes) -> None:
    if caller.flow in world.forgotten:
        return
    names = [
        name
        for name, process in world.processes_by_name.items()
        if _is_sprayed(world, process)
    ]
    if not names:
        return
    name = names[world.generator.randrange(len(names))]
    flow = caller.flow

    def arrive(now: float) -> None:
        process = world.processes_by_name[name]
        deliver(
            world,
            process,
            lambda now: balancer_core.receive_from_caller(
                process.state,
                flow.service,
                Address(flow.caller_ip, flow.caller_port),
                datagram,
                now,
            ),
        )

    transmit(world, FABRIC, name, arrive)


def _is_sprayed(world: World, process: Process) -> bool:
    """Tell whether the fabric sends to a process at present."""
    if not isinstance(process.state, Balancer):
        return False
    if process.is_alive:
        return not process.is_stopping
    return world.now < (process.ended_at or 0.0) + world.options.withdraw_s


def _caller_of(world: World, service: str, caller: str) -> Caller:
    ip, _, port = caller.rpartition(":")
    flow = FlowKey(service, ip, int(port))
    if (service, caller) not in world.callers_by_name:
        view, _ = build_view(_whole_snapshot(world), View())
        known = view.services_by_name.get(service)
        world.callers_by_flow[flow] = Caller(
            flow,
            known.heartbeat if known else 10.0,
            Random(world.generator.getrandbits(64)),
            partial(_send_to_fabric, world),
            world.timers.call_at,
            partial(_renew_caller, world),
        )
        world.callers_by_name[service, caller] = world.callers_by_flow[flow]
    return world.callers_by_name[service, caller]


def _renew_caller(world: World, caller: Caller) -> None:
    """Give a caller the next port; its old flow gets no more datagrams."""
    del world.callers_by_flow[caller.flow]
    flow = caller.flow
    caller.flow = FlowKey(flow.service, flow.caller_ip, flow.caller_port + 1)
    world.callers_by_flow[caller.flow] = caller


def _open_feed(world: World, event: OpenFeed, line: int, now: float) -> None:
    caller = _caller_of(world, event.service, event.caller)
    replay_caller.open_feed(caller, line, now)


def _close_feed(world: World, event: CloseFeed, line: int, now: float) -> None:
    replay_caller.close_feed(_caller_of(world, event.service, event.caller), now)


def _request(world: World, event: Request, line: int, now: float) -> None:
    caller = _caller_of(world, event.service, event.caller)
    replay_caller.send_request(caller, event.id, event.repeatable, line, now)


def _forget(world: World, event: Forget, line: int, now: float) -> None:
    caller = _caller_of(world, event.service, event.caller)
    world.forgotten.add(caller.flow)


def _kill(world: World, event: Kill, line: int, now: float) -> None:
    process = world.processes_by_name[event.process]
    process.is_alive = False
    process.ended_at = now
    world.kills.append(now)


def _start(world: World, event: Start, line: int, now: float) -> None:
    process = world.processes_by_name[event.process]
    process.is_alive = False
    _start_process(world, process.host, now)


def _stop(world: World, event: Stop, line: int, now: float) -> None:
    process = world.processes_by_name[event.process]
    process.is_stopping = True
    if isinstance(process.state, Agent):
        deliver(world, process, partial(agent_core.begin_stop, process.state))


def _pause(world: World, event: Pause, line: int, now: float) -> None:
    world.processes_by_name[event.process].is_paused = True


def _resume(world: World, event: Resume, line: int, now: float) -> None:
    process = world.processes_by_name[event.process]
    process.is_paused = False
    inbox, process.inbox = process.inbox, []
    for action in inbox:
        deliver(world, process, action)


def _cut(world: World, event: Cut, line: int, now: float) -> None:
    world.cuts.add((event.source, event.destination))


def _heal(world: World, event: Heal, line: int, now: float) -> None:
    world.cuts.discard((event.source, event.destination))


HANDLERS_BY_EVENT: dict[type[Event], Callable[[World, Event, int, float], None]] = {
    Publish: _publish,
    Upstream: _set_upstream,
    OpenFeed: _open_feed,
    CloseFeed: _close_feed,
    Request: _request,
    Kill: _kill,
    Start: _start,
    Stop: _stop,
    Pause: _pause,
    Resume: _resume,
    Cut: _cut,
    Heal: _heal,
    Forget: _forget,
}
