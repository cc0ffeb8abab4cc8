"""State of a replay: processes, callers, upstreams and virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lycheeglade.address import Address
from lycheeglade.agent_state import Agent
from lycheeglade.balancer import Balancer
from lycheeglade.flow import FlowKey
from lycheeglade.recorder import AgentInputs, BalancerInputs, Recorder
from lycheeglade.replay_caller import Caller
from lycheeglade.replay_upstream import UpstreamModel
from lycheeglade.served_target import TargetKey
from lycheeglade.spread import Snapshot, merge_values
from lycheeglade.timer import TimerQueue
from lycheeglade.trace import (
    Options,
    Upstream,
)
from lycheeglade.value import Value
from lycheeglade.view import Host, View


@dataclass(slots=True)
class Process:
    """A balancer or an agent in the replay.

    Attributes
    ----------
    inputs : AgentInputs or BalancerInputs
        Inputs through which the core is called, as in the daemons.
    deferred_actions : list of callable
        Deliveries held back while the process is paused.
    revisions : list of tuple
        Time, name and resulting revision of each value delivered to the
        process.
    """

    host: Host
    state: Agent | Balancer
    inputs: AgentInputs | BalancerInputs
    snapshot: Snapshot
    started_at: float
    view: View = field(default_factory=View)
    is_alive: bool = True
    is_paused: bool = False
    is_stopping: bool = False
    ended_at: float | None = None
    deferred_actions: list[Callable[[float], None]] = field(default_factory=list)
    revisions: list[tuple[float, str, int]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class LeavingSpan:
    """Time span in which a target accepts no new work; open without `end`."""

    start: float
    end: float | None = None


@dataclass(slots=True)
class World:
    """State of a replay.

    Attributes
    ----------
    record : callable or None
        Returns a recorder for a starting process, given its host, the seed
        of its core and the present time.
    """

    options: Options
    generator: Random
    record: Callable[[Host, int, float], Recorder] | None = None
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
    forgotten_flows: set[FlowKey] = field(default_factory=set)
    counts: dict[tuple[str, str, str], int] = field(default_factory=dict)
    leaving_spans_by_key: dict[TargetKey, list[LeavingSpan]] = field(
        default_factory=dict
    )
    published: list[tuple[float, str, int]] = field(default_factory=list)

    def count(self, name: str, service: str = "", cause: str = "") -> None:
        """Increment a counter that all processes share."""
        key = (name, service, cause)
        self.counts[key] = self.counts.get(key, 0) + 1


def build_snapshot(world: World) -> Snapshot:
    """Return a snapshot of all valid published values."""
    revision = max(
        (value.revision for value in world.values_by_name.values()), default=0
    )
    return merge_values(Snapshot(), world.values_by_name.values(), revision).snapshot


def deliver(world: World, process: Process, action: Callable[[float], None]) -> None:
    """Run `action` at a live process, after its pause if it is paused."""
    if not process.is_alive:
        return
    if process.is_paused:
        process.deferred_actions.append(action)
    else:
        action(world.now)


def transmit(
    world: World, source: str, destination: str, action: Callable[[float], None]
) -> None:
    """Schedule a datagram's arrival, with latency, loss and duplication."""
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
