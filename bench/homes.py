"""Compares ways to find a flow's home.

Usage: ``python -m bench.homes``. With "push", agents notify a flow's first
candidate of its home when the view changes. With "probe", an agent asks the
other candidates before it opens an unknown flow. Each run is a replay in
virtual time with one planned change.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from random import Random
from statistics import mean
from time import perf_counter
from unittest.mock import patch

from demo.traces import Plan, make_hosts, make_service, remove_target
from lycheeglade import agent, feed, home, takeover
from lycheeglade.configuration import format_hosts, format_service
from lycheeglade.outcome import CHECKS_BY_NAME
from lycheeglade.replay import World, apply_event, run_until
from lycheeglade.replay_caller import Result
from lycheeglade.trace import (
    Expect,
    OpenFeed,
    Options,
    Publish,
    Request,
    Start,
    Stop,
    Upstream,
)
from lycheeglade.view import Service

SERVICE = "booth-sync"
SIZES = ((7, 60), (20, 300))
CHANGES = ("add", "remove", "re-weight", "agent restart")
MODES = ("none", "push", "probe", "both")
CHANGE_AT_S = 10.0
END_S = 60.0
STAGGER_S = 1.0


@dataclass(frozen=True, slots=True)
class Row:
    """Figures of one run.

    Attributes
    ----------
    notices, probes : int
        Number of datagrams sent since the change.
    latency : float
        Mean seconds from a request to its answer.
    broken_flows : int
        Number of callers whose feed broke.
    unanswered : int
        Number of requests without a complete answer, including those with
        an unknown outcome.
    """

    notices: int
    probes: int
    forwarded: int
    latency: float
    broken_flows: int
    unanswered: int
    seconds: float

    @property
    def messages(self) -> int:
        """Number of datagrams sent to find homes."""
        return self.notices + 2 * self.probes


@contextmanager
def use_mode(mode: str) -> Iterator[None]:
    """Disable the notices or probes that `mode` doesn't include."""
    patches = []
    if mode in ("none", "probe"):
        for module in (agent, feed, home, takeover):
            patches.append(patch.object(module, "announce_home", _send_no_notice))
    if mode in ("none", "push"):
        patches.append(patch.object(home, "_find_or_open_flow", _open_without_probe))
    for patcher in patches:
        patcher.start()
    try:
        yield
    finally:
        for patcher in patches:
            patcher.stop()


def _send_no_notice(*arguments: object, **options: object) -> None:
    pass


def _open_without_probe(agent, served, flow, packet, now) -> None:
    home.open_or_forward_flow(agent, served, flow, packet, now)


def make_world(targets: int, callers: int) -> tuple[World, Service]:
    """Return a world with hosts and upstreams, and its service."""
    plan = Plan(
        "homes",
        "viti-west",
        ("nadi-a", "nadi-b", "nadi-c"),
        "reelbure",
        SERVICE,
        "",
        targets=targets,
        other_targets=0,
        slots=4,
        service_time_s=0.02,
        callers=callers,
        requests=0,
        seed=1,
    )
    world = World(Options(at=0.0, tick_s=0.1), Random(1))
    service = make_service(plan, SERVICE, targets, 1)
    for target in service.targets_by_id:
        apply_now(
            world, Upstream(at=0.0, service=SERVICE, target=target, feed_period_s=5.0)
        )
    for zone, hosts in make_hosts(plan, (service,)).items():
        text = format_hosts(hosts)
        event = Publish(at=0.0, name=f"hosts/{zone}", revision=1, text=text)
        apply_now(world, event)
    return world, service


def apply_now(world: World, event) -> None:
    """Apply an event at the world's current time."""
    apply_event(world, event, 0, world.now)


def publish(world: World, service: Service, revision: int) -> None:
    """Publish a service; revisions after the first arrive at random times."""
    name, text = f"services/{SERVICE}", format_service(service)
    for process in list(world.processes_by_name):
        event = Publish(at=0.0, name=name, revision=revision, text=text, to=(process,))
        delay = 0.0 if revision == 1 else STAGGER_S * world.generator.random()
        world.timers.call_at(world.now + delay, _make_event_action(world, event))


def _make_event_action(world: World, event) -> Callable[[float], None]:
    return lambda now: apply_event(world, event, 0, now)


def measure(mode: str, change: str, targets: int, callers: int) -> Row:
    """Return the figures of one planned change in one mode."""
    started = perf_counter()
    with use_mode(mode):
        world, whole = make_world(targets, callers)
        last_target = f"t{targets}"
        first_view = remove_target(whole, last_target) if change == "add" else whole
        publish(world, first_view, 1)
        run_until(world, 1.0)
        addresses = [f"127.9.{n // 250}.{n % 250 + 1}:4000" for n in range(callers)]
        for address in addresses:
            apply_now(world, OpenFeed(at=0.0, service=SERVICE, caller=address))
            run_until(world, world.now + 0.01)
        for number in range(4 * callers):
            event = Request(
                at=0.0,
                service=SERVICE,
                caller=addresses[number % callers],
                id=f"r{number}",
                repeatable=number % 2 == 0,
            )
            at = CHANGE_AT_S - 2 + 20 * number / (4 * callers)
            world.timers.call_at(at, _make_event_action(world, event))
        run_until(world, CHANGE_AT_S)
        before = dict(world.counts)
        apply_change(world, whole, change, last_target)
        run_until(world, END_S)
    return make_row(world, before, perf_counter() - started)


def apply_change(world: World, whole: Service, change: str, last_target: str) -> None:
    """Start the planned change."""
    target = whole.targets_by_id[last_target]
    if change == "add":
        publish(world, whole, 2)
    elif change == "remove":
        publish(world, remove_target(whole, last_target), 2)
    elif change == "re-weight":
        targets = whole.targets_by_id | {last_target: replace(target, weight=3.0)}
        publish(world, replace(whole, targets_by_id=targets), 2)
    else:
        apply_now(world, Stop(at=0.0, process=target.host_id))
        start = Start(at=0.0, process=target.host_id)
        world.timers.call_at(world.now + 5.0, _make_event_action(world, start))


def make_row(world: World, before: dict, seconds: float) -> Row:
    """Return the figures of a run; `before` are the counts at the change."""

    def since(name: str, cause: str) -> int:
        key = (name, SERVICE, cause)
        return world.counts.get(key, 0) - before.get(key, 0)

    broken = sum(
        bool(caller.feed and caller.feed.faults)
        for caller in world.callers_by_flow.values()
    )
    requests = [
        request
        for caller in world.callers_by_flow.values()
        for request in caller.requests
    ]
    times = [
        request.finished_at - request.sent_at
        for request in requests
        if request.result is Result.ANSWERED
    ]
    lost = CHECKS_BY_NAME["unanswered"](world, Expect(at=world.now, outcome=""))
    return Row(
        since("home-notice", "sent"),
        since("probe", "sent"),
        since("passed-on", "home"),
        mean(times) if times else 0.0,
        broken,
        int(lost.value),
        seconds,
    )


def main() -> None:
    """Print a line for each size, change and mode."""
    print(
        "targets callers change         mode   messages notices probes "
        "passed-on latency_ms broken unanswered"
    )
    for targets, callers in SIZES:
        for change in CHANGES:
            for mode in MODES:
                row = measure(mode, change, targets, callers)
                print(
                    f"{targets:7} {callers:7} {change:14} {mode:6}"
                    f" {row.messages:8} {row.notices:7} {row.probes:6}"
                    f" {row.forwarded:9} {1000 * row.latency:10.2f}"
                    f" {row.broken_flows:6} {row.unanswered:10}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
