"""Measures the cost of configuration gossip at one process.

Usage: ``python -m bench.spread``. Memory is measured by ``bench.capacity``.
Bytes on the wire are read from the counters of the loopback interface, so no
other process should use that interface during the run.
"""

from argparse import ArgumentParser
from asyncio import create_task, gather, run
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from time import process_time

from numpy import abs as absolute
from numpy import polyfit, polyval
from pynng import Rep0

from bench.epidemic import Fleet, spread_times
from lycheeglade.address import Address, Zone
from lycheeglade.configuration import format_hosts, format_service
from lycheeglade.gossip import PUSH_FANOUT
from lycheeglade.gossip_message import Reply, decode_message, encode_message
from lycheeglade.knowledge import Knowledge
from lycheeglade.peer import ask_peer
from lycheeglade.spread import Snapshot, build_view, merge_values
from lycheeglade.value import Value
from lycheeglade.view import Host, Protocol, Role, Service, Target

PARTS = ("changes", "exchanges", "epidemic")
ZONES = 25
TARGETS_PER_SERVICE = 3
CONTROL = Address("127.62.0.1", 7200)
EXCHANGES = 300
EXCHANGES_PER_S = 1.0


def make_zone(number: int) -> Zone:
    """Return the zone of a numbered service or zone."""
    return Zone(f"region-{number % 7}", f"zone-{number % ZONES}")


def make_ip(number: int) -> str:
    """Return the IP address of a numbered host."""
    return f"10.{number // 65025}.{number // 255 % 255}.{number % 255 + 1}"


def make_service(number: int) -> Value:
    """Return the configuration value of a numbered service."""
    zone = make_zone(number)
    targets_by_id = {}
    for index in range(TARGETS_PER_SERVICE):
        host = number * TARGETS_PER_SERVICE + index
        ip = make_ip(host)
        target_id = f"{zone.name}-{index}"
        targets_by_id[target_id] = Target(
            target_id, f"host-{host}", zone, Address(ip, 7100), Address(ip, 5683)
        )
    name = f"service-{number}"
    addresses = (Address(make_ip(200_000 + number), 5683),)
    protocol = Protocol.COAP
    service = Service(
        name, "tenant", 0, protocol, addresses, (zone.region,), targets_by_id
    )
    return Value(f"services/{name}", number + 1, format_service(service))


def make_hosts(zone_number: int, count: int, revision: int = 1) -> Value:
    """Return a zone's list of hosts, one in 12 of which is a balancer."""
    zone = make_zone(zone_number)
    hosts = []
    for number in range(count):
        ip = make_ip(zone_number * 2000 + number)
        role = Role.AGENT if number % 12 else Role.BALANCER
        name = f"host-{zone_number}-{number}"
        hosts.append(Host(name, role, zone, Address(ip, 7100), Address(ip, 7200)))
    return Value(f"hosts/{zone}", revision, format_hosts(hosts))


def print_fit(name: str, unit: str, sizes: Sequence[float], costs: Sequence[float]):
    """Print the line fitted to the points, and its largest residual."""
    slope, intercept = polyfit(sizes, costs, 1)
    residuals = absolute(polyval((slope, intercept), sizes) - costs)
    points = ", ".join(
        f"{size:g}: {cost:.4g}" for size, cost in zip(sizes, costs, strict=True)
    )
    print(f"{name}: slope {slope:.4g} {unit}, intercept {intercept:.4g} {unit}")
    worst = residuals.max()
    print(f"    points {points}; largest residual {worst:.2g} {unit}")


def measure_cpu(action: Callable[[], object], repeats: int) -> float:
    """Return the mean CPU milliseconds of `action`."""
    started = process_time()
    for _ in range(repeats):
        action()
    return (process_time() - started) / repeats * 1000.0


def make_services(count: int) -> Iterator[Value]:
    """Return an iterator over the values of `count` services."""
    return (make_service(number) for number in range(count))


def make_host_values(count: int) -> Iterator[Value]:
    """Return an iterator over the zones' lists of `count` hosts in total."""
    return (make_hosts(zone, count // ZONES) for zone in range(ZONES))


def measure_changes() -> None:
    """Print the CPU time and bytes of one change."""
    sizes = [100, 400, 1572]
    values = [make_hosts(0, size) for size in sizes]
    costs = [
        measure_cpu(lambda v=v: merge_values(Snapshot(), [v], 1), 5) for v in values
    ]
    print_fit("CPU to read a whole list of hosts, by host", "ms", sizes, costs)
    costs = [measure_host_change(value) for value in values]
    print_fit("CPU to read a list with one host changed, by host", "ms", sizes, costs)
    replies = [encode_message(_make_reply(value)) for value in values]
    print_fit("bytes of a list of hosts, by host", "B", sizes, [*map(len, replies)])
    costs = [
        measure_cpu(lambda v=v: encode_message(_make_reply(v)), 20) for v in values
    ]
    print_fit("CPU to send a list of hosts, by host", "ms", sizes, costs)
    service = make_service(7)
    print(f"bytes of a service: {len(encode_message(_make_reply(service)))} B")
    cost = measure_cpu(lambda: merge_values(Snapshot(), [service], 1), 200)
    print(f"CPU to read a service: {cost:.3g} ms")
    sizes, apply_costs, build_costs, diff_costs = [100, 1000, 11_000], [], [], []
    for size in sizes:
        snapshot = merge_values(Snapshot(), make_services(size), size).snapshot
        changed = Value(service.name, size + 1, service.text)
        knowledge = Knowledge(0.0)
        knowledge.snapshot = merge_values(snapshot, [changed], size + 1).snapshot
        other = Knowledge(0.0)
        other.snapshot = snapshot
        request = other.build_request("127.0.0.1", 1)
        apply_costs.append(
            measure_cpu(lambda s=snapshot, c=changed: merge_values(s, [c], 0), 20)
        )
        build_costs.append(measure_cpu(lambda s=snapshot: build_view(s), 10))
        diff_costs.append(
            measure_cpu(lambda k=knowledge, r=request: k.build_reply(r, True, 0.0), 20)
        )
    print_fit("CPU to apply a change, by service", "ms", sizes, apply_costs)
    print_fit("CPU to build a view, by service", "ms", sizes, build_costs)
    print_fit(
        "CPU to find the values that a peer lacks, by service", "ms", sizes, diff_costs
    )


def measure_host_change(value: Value) -> float:
    """Return the CPU milliseconds to apply a list with one host changed."""
    snapshot = merge_values(Snapshot(), [value], 1).snapshot
    text = value.text.replace("state = live", "state = leaving", 1)
    changed = Value(value.name, 2, text)
    return measure_cpu(lambda: merge_values(snapshot, [changed], 2), 10)


def _make_reply(value: Value) -> Reply:
    knowledge = Knowledge(0.0)
    knowledge.snapshot = Snapshot(value.revision, {value.name: value})
    return knowledge.build_reply(
        Knowledge(0.0).build_request("127.0.0.1", 1), True, 0.0
    )


async def measure_exchanges() -> None:
    """Print the cost of idle exchanges by number of services."""
    sizes, cpu, wire = [100, 1000, 11_000], [], []
    for size in sizes:
        knowledge = Knowledge(0.0)
        knowledge.snapshot = merge_values(
            Snapshot(), make_services(size), size
        ).snapshot
        with Rep0() as listener:
            listener.listen(f"tcp://{CONTROL}")
            server = create_task(serve(listener, knowledge))
            request = knowledge.build_request(*CONTROL)
            await ask_peer(CONTROL, request)
            bytes_before, started = loopback_bytes(), process_time()
            for _ in range(EXCHANGES):
                assert await ask_peer(CONTROL, request) is not None
            cpu.append((process_time() - started) / EXCHANGES * 1000.0)
            wire.append((loopback_bytes() - bytes_before) / EXCHANGES)
        await gather(server, return_exceptions=True)
    print_fit("CPU of an idle exchange, both ends, by service", "ms", sizes, cpu)
    print_fit("bytes of an idle exchange, both ways, by service", "B", sizes, wire)
    print(
        f"    an idle process sends and receives {wire[-1] * EXCHANGES_PER_S:.0f} B/s"
    )
    share = cpu[-1] / 1000.0 * EXCHANGES_PER_S / 2 * 100.0
    print(f"    idle exchanges take {share:.3f}% of a core")


async def serve(listener: Rep0, knowledge: Knowledge) -> None:
    """Answer all requests until the listener is closed."""
    while True:
        request = decode_message(await listener.arecv())
        await listener.asend(encode_message(knowledge.build_reply(request, True, 0.0)))


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has received."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split()[1])
    return 0


def measure_epidemic(seed: int) -> None:
    """Print the virtual time until a change reaches all processes."""
    for processes in (300, 3300, 39_300):
        for fanout, informed, failed_share in (
            (PUSH_FANOUT, 50, 0.02),
            (PUSH_FANOUT, 1, 0.02),
            (PUSH_FANOUT, 50, 0.3),
            (4, 50, 0.02),
            (2, 50, 0.02),
            (0, 50, 0.02),
        ):
            fleet = Fleet(
                processes, ZONES, fanout, min(informed, processes), failed_share
            )
            result = spread_times(fleet, seed)
            print(
                f"{processes} processes, push to {fanout}, {informed} know first, "
                f"{failed_share:.0%} failed: 50% {result.p50:.2f} s, "
                f"99% {result.p99:.2f} s, "
                f"all {result.all:.2f} s, {result.messages:.1f} messages per process"
            )


def main() -> None:
    """Run the chosen measurements, by default all of them."""
    parser = ArgumentParser(prog="python -m bench.spread", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("parts", nargs="*", default=PARTS, help=", ".join(PARTS))
    arguments = parser.parse_args()
    if "changes" in arguments.parts:
        measure_changes()
    if "exchanges" in arguments.parts:
        run(measure_exchanges())
    if "epidemic" in arguments.parts:
        measure_epidemic(arguments.seed)


if __name__ == "__main__":
    main()
