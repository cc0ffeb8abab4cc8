"""Writes the traces of both deployments: ``python -m demo.traces FOLDER``.

Each trace checks every outcome that must always hold, under planned changes
and faults. The limits are the guaranteed ones, not results of a run.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from json import dumps
from pathlib import Path
from random import Random
from sys import argv

from lycheeglade.address import Address, Zone
from lycheeglade.configuration import format_hosts, format_service
from lycheeglade.view import Host, Protocol, Role, Service, State, Target

END_S = 600.0
FEED_PERIOD_S = 5.0
SLOW_UPSTREAM_FEED_PERIOD_S = 1.0
MAX_CONFIGURATION_LAG_S = 6.0
MAX_LEAVING_WORK_S = 3.0
MAX_FEED_RECOVERY_S = 30.0
SETTLE_S = 30.0
SLOW_SERVICE_TIME_S = 12.0
BURST_REQUESTS = 3


@dataclass(frozen=True, slots=True)
class Plan:
    """One deployment and the load on it."""

    name: str
    region: str
    zones: tuple[str, ...]
    tenant: str
    feed_service: str
    other_service: str
    targets: int
    other_targets: int
    slots: int
    service_time_s: float
    callers: int
    requests: int
    seed: int


PLANS = (
    Plan(
        "reelbure-evening",
        "viti-west",
        ("nadi-a", "nadi-b", "lautoka-a", "lautoka-b"),
        "reelbure",
        "booth-sync",
        "reel-depot",
        7,
        4,
        1,
        0.02,
        21,
        400,
        11,
    ),
    Plan(
        "wayfarer-day",
        "wa-south",
        ("wa-south-a", "wa-south-b", "wa-south-c"),
        "wayfarer",
        "phrasebook",
        "pronounce",
        7,
        3,
        3,
        0.1,
        21,
        600,
        12,
    ),
)


def make_service(plan: Plan, name: str, targets: int, first: int) -> Service:
    """Return a service with its targets spread over the zones."""
    targets_by_id = {}
    for number in range(first, first + targets):
        zone = Zone(plan.region, plan.zones[number % len(plan.zones)])
        target_id = f"t{number}"
        targets_by_id[target_id] = Target(
            target_id,
            f"{zone.name}-host-{number}",
            zone,
            Address(f"127.2.0.{number}", 7100),
            Address(f"127.2.0.{number}", 5683),
            slots=plan.slots,
        )
    return Service(
        name,
        plan.tenant,
        0,
        Protocol.COAP,
        (Address(f"127.10.0.{first}", 5683),),
        (plan.region,),
        targets_by_id,
        cold_start=0.0,
        request_timeout=10.0,
        flow_idle=120.0,
    )


def make_hosts(
    plan: Plan, services: tuple[Service, ...]
) -> dict[str, tuple[Host, ...]]:
    """Return the hosts by zone: three balancers, and one agent per target."""
    hosts = []
    for number in (1, 2, 3):
        zone = Zone(plan.region, plan.zones[number % len(plan.zones)])
        ip = f"127.1.0.{number}"
        host_id = f"balancer-{number}"
        hosts.append(
            Host(host_id, Role.BALANCER, zone, Address(ip, 7100), Address(ip, 7200))
        )
    for service in services:
        for target in service.targets_by_id.values():
            control = Address(target.agent.ip, 7200)
            hosts.append(
                Host(target.host_id, Role.AGENT, target.zone, target.agent, control)
            )
    return {
        str(Zone(plan.region, zone)): tuple(h for h in hosts if h.zone.name == zone)
        for zone in plan.zones
    }


class TraceWriter:
    """Collects the lines of a trace, in the order of their times."""

    def __init__(self):
        self._lines: list[tuple[float, int, dict]] = []
        self.revision = 0

    def add(self, at: float, kind: str, **fields: object) -> None:
        """Add a line."""
        line = {"at": round(at, 3), "kind": kind, **fields}
        self._lines.append((at, len(self._lines), line))

    def publish(self, at: float, name: str, text: str, **fields: object) -> None:
        """Add a change of a value under the next revision."""
        self.revision += 1
        self.add(at, "publish", name=name, revision=self.revision, text=text, **fields)

    def text(self) -> str:
        """Return the trace."""
        lines = sorted(self._lines, key=lambda line: line[:2])
        return "".join(dumps(line) + "\n" for _, _, line in lines)


def mark_leaving(service: Service, *target_ids: str) -> Service:
    """Return the service with the given targets marked as leaving."""
    targets = {
        name: replace(target, state=State.LEAVING) if name in target_ids else target
        for name, target in service.targets_by_id.items()
    }
    return replace(service, targets_by_id=targets)


def remove_target(service: Service, target_id: str) -> Service:
    """Return the service without a target."""
    targets = dict(service.targets_by_id)
    del targets[target_id]
    return replace(service, targets_by_id=targets)


def write_load(writer: TraceWriter, plan: Plan, generator: Random) -> None:
    """Add feeds, requests of both kinds and downloads."""
    for number in range(plan.callers):
        caller = f"127.9.0.{number + 1}:4000"
        writer.add(1 + number * 0.2, "feed", service=plan.feed_service, caller=caller)
    for number in range(plan.requests):
        at = 20 + (END_S - 60) * number / plan.requests
        caller = f"127.9.0.{generator.randrange(plan.callers) + 1}:4000"
        is_other = number % 4 == 3
        writer.add(
            at + generator.random(),
            "request",
            service=plan.other_service if is_other else plan.feed_service,
            caller=caller,
            id=f"r{number}",
            repeatable=is_other or number % 4 == 1,
        )


def write_burst(writer: TraceWriter, plan: Plan, at: float) -> None:
    """Add several requests of each caller at the same time."""
    for number in range(plan.callers):
        for part in range(BURST_REQUESTS):
            writer.add(
                at + part * 0.001,
                "request",
                service=plan.feed_service,
                caller=f"127.9.0.{number + 1}:4000",
                id=f"burst{number}-{part}",
                repeatable=True,
            )


def write_planned_changes(
    writer: TraceWriter, plan: Plan, services: tuple[Service, Service]
) -> None:
    """Add drains, removals, an invalid and a stale value, and restarts."""
    feeds, other = services
    name = f"services/{plan.feed_service}"
    hosts = [target.host_id for target in feeds.targets_by_id.values()]
    writer.publish(60, name, format_service(mark_leaving(feeds, "t1")))
    writer.publish(75, name, format_service(remove_target(feeds, "t1")))
    writer.publish(90, name, "[service]\nname = nonsense\n")
    writer.add(
        95,
        "publish",
        name=name,
        revision=1,
        text=format_service(mark_leaving(feeds, "t2")),
    )
    writer.publish(100, name, format_service(feeds))
    early_hosts = [hosts[1], hosts[2], "balancer-1"]
    two_leaving = format_service(mark_leaving(feeds, "t2", "t3"))
    writer.publish(130, name, two_leaving, to=early_hosts)
    writer.add(132, "publish", name=name, revision=writer.revision, text=two_leaving)
    writer.publish(145, name, format_service(feeds))
    # A target's upstream address moves to the other service and back.
    moved = replace(
        feeds.targets_by_id["t4"],
        target_id="t99",
        upstream=Address("127.2.0.4", 5685),
    )
    other_with_moved = replace(
        other, targets_by_id={**other.targets_by_id, "t99": moved}
    )
    without_moved = format_service(remove_target(feeds, "t4"))
    notified_hosts = [*hosts, "balancer-1", "balancer-2"]
    writer.publish(160, name, without_moved, to=notified_hosts)
    without_moved_revision = writer.revision
    writer.publish(
        163, f"services/{plan.other_service}", format_service(other_with_moved)
    )
    writer.add(
        165.5, "publish", name=name, revision=without_moved_revision, text=without_moved
    )
    writer.publish(190, f"services/{plan.other_service}", format_service(other))
    writer.publish(205, name, format_service(feeds))
    for number, host in enumerate(hosts[:3]):
        writer.add(225 + 15 * number, "stop", process=host)
        writer.add(235 + 15 * number, "start", process=host)
    for number in (1, 2, 3):
        writer.add(280 + 12 * number, "stop", process=f"balancer-{number}")
        writer.add(286 + 12 * number, "start", process=f"balancer-{number}")


def write_faults(writer: TraceWriter, feeds: Service) -> None:
    """Add kills, pauses, cuts, a forgotten flow and upstream faults."""
    hosts = [target.host_id for target in feeds.targets_by_id.values()]
    writer.add(350, "kill", process="balancer-2")
    writer.add(360, "start", process="balancer-2")
    writer.add(370, "kill", process=hosts[5])
    writer.add(375, "start", process=hosts[5])
    writer.add(400, "pause", process=hosts[2])
    writer.add(460, "resume", process=hosts[2])
    writer.add(420, "cut", source="balancer-1", destination=hosts[4])
    writer.add(450, "heal", source="balancer-1", destination=hosts[4])
    writer.add(470, "forget", service=feeds.name, caller="127.9.0.3:4000")
    failed_upstream = {
        "service": feeds.name,
        "target": "t7",
        "feed_period_s": FEED_PERIOD_S,
    }
    writer.add(490, "upstream", **failed_upstream, is_down=True)
    writer.add(505, "upstream", **failed_upstream)
    slow_upstream = {
        "service": feeds.name,
        "target": "t5",
        "feed_period_s": FEED_PERIOD_S,
    }
    # The slow upstream still sends feed items, so it does not count as silent.
    slow_upstream_with_feed = {
        **slow_upstream,
        "feed_period_s": SLOW_UPSTREAM_FEED_PERIOD_S,
    }
    writer.add(
        520, "upstream", **slow_upstream_with_feed, service_time_s=SLOW_SERVICE_TIME_S
    )
    writer.add(535, "upstream", **slow_upstream)
    # Answers through balancer-1 are lost, so that requests are retransmitted.
    writer.add(540, "cut", source="balancer-1", destination="fabric")
    writer.add(565, "heal", source="balancer-1", destination="fabric")


def generate_expectations(plan: Plan) -> Iterator[tuple[float, dict]]:
    """Yield the expected outcomes, those of planned changes first."""
    planned_end = 345.0
    yield planned_end, {"outcome": "feed-breaks"}
    yield planned_end, {"outcome": "unanswered", "until": planned_end - SETTLE_S}
    for outcome in (
        "misdeliveries",
        "unfinished",
        "double-runs",
        "false-refusals",
        "answered-without-run",
        "reverted-values",
        "stale-feeds",
    ):
        yield END_S, {"outcome": outcome, "until": END_S - SETTLE_S}
    yield END_S, {"outcome": "leaving-work-seconds", "limit": MAX_LEAVING_WORK_S}
    yield (
        END_S,
        {"outcome": "configuration-lag-seconds", "limit": MAX_CONFIGURATION_LAG_S},
    )
    yield END_S, {"outcome": "feed-recovery-seconds", "limit": MAX_FEED_RECOVERY_S}


def write_trace(plan: Plan) -> str:
    """Return the trace of a deployment."""
    writer = TraceWriter()
    feeds = make_service(plan, plan.feed_service, plan.targets, 1)
    other = make_service(plan, plan.other_service, plan.other_targets, 11)
    writer.add(0, "options", seed=plan.seed, tick_s=0.2, duplication=0.01)
    for service in (feeds, other):
        writer.publish(0, f"services/{service.name}", format_service(service))
        for target_id in service.targets_by_id:
            writer.add(
                0,
                "upstream",
                service=service.name,
                target=target_id,
                service_time_s=plan.service_time_s * (1 + int(target_id[1:]) % 5),
                slots=plan.slots,
                feed_period_s=FEED_PERIOD_S,
                crossing_s=plan.service_time_s,
            )
    for zone, hosts in make_hosts(plan, (feeds, other)).items():
        writer.publish(0, f"hosts/{zone}", format_hosts(hosts))
    write_load(writer, plan, Random(plan.seed))
    write_burst(writer, plan, 164)
    write_planned_changes(writer, plan, (feeds, other))
    write_faults(writer, feeds)
    for at, fields in generate_expectations(plan):
        writer.add(at, "expect", **fields)
    return writer.text()


def main() -> None:
    """Write all traces to the folder given on the command line."""
    folder = Path(argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    for plan in PLANS:
        (folder / f"{plan.name}.trace").write_text(write_trace(plan))


if __name__ == "__main__":
    main()
