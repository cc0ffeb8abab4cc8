"""A simulated deployment with callers and upstreams in virtual time."""

from dataclasses import replace
from random import Random

from demo.traces import Plan, make_hosts, make_service
from lycheeglade.configuration import format_hosts, format_service
from lycheeglade.outcome import CHECKS_BY_NAME
from lycheeglade.replay import apply_event, run_until
from lycheeglade.replay_world import World
from lycheeglade.trace import (
    Event,
    Expect,
    OpenFeed,
    Options,
    Publish,
    Request,
    Start,
    Stop,
    Upstream,
)

SERVICE = "booth-sync"
PLAN = Plan(
    "machine",
    "viti-west",
    ("nadi-a", "nadi-b"),
    "reelbure",
    SERVICE,
    "",
    targets=5,
    other_targets=0,
    slots=2,
    service_time_s=0.02,
    callers=4,
    requests=0,
    seed=1,
)
HEARTBEAT_S = 4.0
SETTLE_S = 60.0
MIN_LIVE_TARGETS = 2
ALWAYS = ("feed-breaks", "misdeliveries", "double-runs", "false-refusals")
SETTLED = ("unanswered", "answered-without-run", "stale-feeds", "reverted-values")


class Fleet:
    """Three balancers, five agents and their callers."""

    def __init__(self, seed: int = 1, flow_idle: float = 120.0):
        options = Options(at=0.0, seed=seed, tick_s=0.1)
        self.world = World(options, Random(seed))
        self.whole = replace(
            make_service(PLAN, SERVICE, PLAN.targets, 1),
            heartbeat=HEARTBEAT_S,
            flow_idle=flow_idle,
        )
        self.service = self.whole
        self.revision = 0
        self.requests = 0
        self.caller_ports = [
            f"127.9.0.{number + 1}:4000" for number in range(PLAN.callers)
        ]
        for target in self.whole.targets_by_id:
            behaviour = Upstream(at=0.0, service=SERVICE, target=target, slots=2)
            self.apply(behaviour)
        self.publish(self.whole)
        for zone, hosts in make_hosts(PLAN, (self.whole,)).items():
            self.revision += 1
            name = f"hosts/{zone}"
            text = format_hosts(hosts)
            self.apply(Publish(at=0.0, name=name, revision=self.revision, text=text))
        self.advance(1.0)
        for caller in self.caller_ports:
            self.apply(OpenFeed(at=0.0, service=SERVICE, caller=caller))
        self.advance(1.0)

    @property
    def process_names(self) -> list[str]:
        return list(self.world.processes_by_name)

    def apply(self, event: Event) -> None:
        apply_event(self.world, event, self.revision, self.world.now)

    def advance(self, seconds: float) -> None:
        run_until(self.world, self.world.now + seconds)

    def publish(self, service, early: set[str] = frozenset(), delay: float = 0.0):
        """Publish a service to `early` now and to the others after `delay`.

        All processes get it now if `early` is empty.
        """
        self.service = service
        self.revision += 1
        event = Publish(
            at=0.0,
            name=f"services/{SERVICE}",
            revision=self.revision,
            text=format_service(service),
            to=tuple(early),
        )
        line = self.revision
        apply_event(self.world, event, line, self.world.now)
        if early:
            late = tuple(name for name in self.process_names if name not in early)
            rest = Publish(
                at=0.0,
                name=event.name,
                revision=event.revision,
                text=event.text,
                to=late or ("none",),
            )
            self.world.timers.call_at(
                self.world.now + delay,
                lambda now: apply_event(self.world, rest, line, now),
            )

    def request(self, caller: int, *, repeatable: bool) -> None:
        self.requests += 1
        self.apply(
            Request(
                at=0.0,
                service=SERVICE,
                caller=self.caller_ports[caller],
                id=f"r{self.requests}",
                repeatable=repeatable,
            )
        )

    def stop(self, process: str) -> None:
        self.apply(Stop(at=0.0, process=process))

    def start(self, process: str) -> None:
        self.apply(Start(at=0.0, process=process))

    def is_running(self, process: str) -> bool:
        state = self.world.processes_by_name[process]
        return state.is_alive and not state.is_stopping

    def count_usable_targets(self, service) -> int:
        """Return the number of targets of `service` that can take flows."""
        return sum(
            target.state.value == "live" and self.is_running(target.host_id)
            for target in service.targets_by_id.values()
        )

    def check(self, outcomes: tuple[str, ...]) -> None:
        expect = Expect(at=self.world.now, outcome="")
        found = {
            name: CHECKS_BY_NAME[name](self.world, expect).faults for name in outcomes
        }
        broken = {name: faults for name, faults in found.items() if faults}
        assert not broken, broken

    def settle(self) -> None:
        self.advance(SETTLE_S)
        self.check(ALWAYS + SETTLED)
