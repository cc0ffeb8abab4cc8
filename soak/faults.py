"""Faults and planned maintenance, drawn from a seeded generator."""

from asyncio import create_task, gather, sleep
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from random import Random
from signal import SIGCONT, SIGSTOP

from lycheeglade.address import Address
from soak.deployment import MAX_LAG_S, SERVICES, WARMUP_S, Deployment, Host
from soak.network import LinkFault
from soak.promises import ALL_HOSTS
from soak.starts import damage_settings, start_disturbed
from soak.store_link import LinkState
from tests.platform_process import ZONES

MIN_GAP_S, MAX_GAP_S = 0.2, 2.5
MIN_FAULT_S, MAX_FAULT_S = 0.3, 5.0
READINESS_DELAY_S = 1.5
DRAIN_S = 4.0
MAX_ROUTES = 5
MAX_DELAY_S = 0.3
MAX_COPY_AGE_S = 4.0
MAX_AWAY_S = 1.0
MAX_REWRITE_S = 1.0
# Between the start of a target and a restart of its agent.
MAX_EARLY_S = 2.5
# Values of entries by another writer, which can't be decoded.
MALFORMED_VALUES = (
    b'{"tags":' + b"[" * 2000 + b"]" * 2000 + b"}",
    b"\xff\xfe",
    b'{"service":1}',
    b'{"service":"feeds","address":"10.0.0.1","zone":"nadi-a","state":"ready"}',
)
# Longer than the time within which an evacuation comes into force.
MIN_EVACUATION_S, MAX_EVACUATION_S = 9.0, 15.0
# Targets of one service that may be removed or replaced at the same time.
MAX_UNAVAILABLE_TARGETS = 1
# A service keeps at least this many targets when an address moves to the other
# service.
MIN_TARGETS = 2

Fault = Callable[[Deployment, Random], Awaitable[None]]


@contextmanager
def _reserve_idle_host(
    hosts: Sequence[Host], generator: Random
) -> Iterator[Host | None]:
    """Reserve a random idle host, or yield None if all hosts are busy."""
    idle = [host for host in hosts if not host.is_busy]
    host = generator.choice(idle) if idle else None
    if host is None:
        yield None
        return
    host.is_busy = True
    try:
        yield host
    finally:
        host.is_busy = False


def _draw_duration(generator: Random) -> float:
    return generator.uniform(MIN_FAULT_S, MAX_FAULT_S)


async def kill_process(deployment: Deployment, generator: Random) -> None:
    """Kill a process with SIGKILL and start it again after a random delay."""
    with _reserve_idle_host(deployment.hosts, generator) as host:
        if host is None:
            return
        with deployment.promises.unplanned_fault(host.ip):
            await deployment.kill_process(host)
            await sleep(_draw_duration(generator))
            await start_disturbed(deployment, host, generator)
            await sleep(READINESS_DELAY_S)
        await deployment.check_serving(host)


async def pause_process(deployment: Deployment, generator: Random) -> None:
    """Pause a process with SIGSTOP for a random time and resume it."""
    with _reserve_idle_host(deployment.hosts, generator) as host:
        if host is None:
            return
        with deployment.promises.unplanned_fault(host.ip):
            deployment.send_signal(host, SIGSTOP)
            await sleep(_draw_duration(generator))
            deployment.send_signal(host, SIGCONT)


async def restart_process(deployment: Deployment, generator: Random) -> None:
    """Restart a process as in planned maintenance."""
    await _restart(deployment, generator, deployment.hosts)


async def _restart(
    deployment: Deployment,
    generator: Random,
    hosts: Sequence[Host],
    meanwhile: Fault | None = None,
) -> None:
    """Restart the process of an idle host of `hosts`."""
    with _reserve_idle_host(hosts, generator) as host:
        if host is None:
            return
        await deployment.stop_process(host)
        if meanwhile is not None:
            await meanwhile(deployment, generator)
        await start_disturbed(deployment, host, generator)
        await sleep(READINESS_DELAY_S)
        await deployment.check_serving(host)


async def rewrite_settings(deployment: Deployment, generator: Random) -> None:
    """Write the settings of a process again, in steps and without SIGHUP."""
    with _reserve_idle_host(deployment.hosts, generator) as host:
        if host is not None:
            await damage_settings(deployment, host, generator)
            await deployment.check_serving(host)


async def restart_in_turn(deployment: Deployment, generator: Random) -> None:
    """Restart all hosts of a role in turn, each with a change of routes.

    Connections of a new route may be open when a balancer starts with a copy
    of the store that lacks the route.
    """

    async def use_new_routes(deployment: Deployment, generator: Random) -> None:
        await change_routes(deployment, generator)
        await sleep(generator.uniform(0.0, MAX_LAG_S))

    for host in generator.choice((deployment.balancers, deployment.agents)):
        await _restart(deployment, generator, [host], use_new_routes)


async def send_hangup(deployment: Deployment, generator: Random) -> None:
    """Send SIGHUP to all processes, also to those that start or stop."""
    for host in deployment.hosts:
        deployment.hang_up(host)


async def harm_link(deployment: Deployment, generator: Random) -> None:
    """Drop some or all datagrams of a link, or delay them.

    The fault covers one or both directions between two hosts, or between one
    host and all others.
    """
    first, second = generator.sample(deployment.hosts, 2)
    peer_ip = generator.choice((second.ip, ""))
    fault = generator.choice(
        (
            {"loss": 1.0},
            {"loss": generator.uniform(0.1, 0.5)},
            {"delay": generator.uniform(0.02, MAX_DELAY_S)},
        )
    )
    directions = generator.choice(
        (((first.ip, peer_ip),), ((first.ip, peer_ip), (peer_ip, first.ip)))
    )
    links = {LinkFault(*direction, **fault) for direction in directions}
    # A fault on all links of one host counts as a fault of that host alone.
    with deployment.promises.unplanned_fault(*filter(None, (first.ip, peer_ip))):
        deployment.network.faults |= links
        await sleep(_draw_duration(generator))
        deployment.network.faults -= links


async def harm_store_link(deployment: Deployment, generator: Random) -> None:
    """Disturb the links of some balancers to the store for a random time."""
    count = generator.randint(1, len(deployment.balancers))
    hosts = generator.sample(deployment.balancers, count)
    state = generator.choice([s for s in LinkState if s is not LinkState.GOOD])
    with deployment.promises.store_fault(*(host.ip for host in hosts)):
        for host in hosts:
            host.store_link.set_state(state)
        await sleep(_draw_duration(generator))
        for host in hosts:
            host.store_link.set_state(LinkState.GOOD)


async def harm_store(deployment: Deployment, generator: Random) -> None:
    """Make the store reject all requests, fall silent, or drop its history."""
    promises = deployment.promises
    if generator.random() < 0.5:
        with promises.store_fault(*(host.ip for host in deployment.balancers)):
            deployment.store.compact_history()
        return
    status = generator.choice((429, 503, None, None))
    with promises.store_fault(ALL_HOSTS), deployment.refusing_store(status):
        await sleep(_draw_duration(generator))


async def restore_store(deployment: Deployment, generator: Random) -> None:
    """Put the store back to a copy; what was lost is written again.

    The copy is up to MAX_COPY_AGE_S seconds old, and the store is away for a
    moment before it returns.
    """
    store = deployment.store
    with deployment.promises.unplanned_fault(
        *(host.ip for host in deployment.balancers)
    ):
        copy = store.copy()
        await sleep(generator.uniform(MIN_FAULT_S, MAX_COPY_AGE_S))
        with deployment.refusing_store(503):
            await sleep(generator.uniform(0.0, MAX_AWAY_S))
        deployment.restore_store(copy)
        await sleep(generator.uniform(0.0, MAX_REWRITE_S))
        deployment.write_again()


def _available_services(
    deployment: Deployment, evacuated_zone: str, removed: Host | None = None
) -> set[str]:
    """Return the services with a target outside a zone, not on `removed`."""
    return {
        agent.service
        for agent in deployment.agents
        if agent is not removed
        and agent.zone != evacuated_zone
        and agent.ip not in deployment.unavailable_target_ips
    }


async def evacuate_zone(deployment: Deployment, generator: Random) -> None:
    """Evacuate a zone for some seconds; services keep targets outside."""
    zones = [z for z in ZONES if _available_services(deployment, z) == {*SERVICES}]
    if deployment.evacuated_zone or not zones:
        return
    zone = deployment.evacuated_zone = generator.choice(zones)
    seconds = generator.uniform(MIN_EVACUATION_S, MAX_EVACUATION_S)
    for written, pause in ((zone, seconds), ("", 0.0)):
        while deployment.store.status != 200:
            await sleep(MIN_GAP_S)
        deployment.write_evacuation(written)
        await sleep(pause)


def _choose_target_host(deployment: Deployment, generator: Random) -> Host | None:
    """Return an agent whose target may be removed, or None.

    At most MAX_UNAVAILABLE_TARGETS targets of a service are removed at the
    same time, and one stays outside the evacuated zone, so that the service
    stays available.
    """
    unavailable = [
        a.service
        for a in deployment.agents
        if a.ip in deployment.unavailable_target_ips
    ]
    hosts = [
        agent
        for agent in deployment.agents
        if agent.ip not in deployment.unavailable_target_ips
        and unavailable.count(agent.service) < MAX_UNAVAILABLE_TARGETS
        and agent.service
        in _available_services(deployment, deployment.evacuated_zone, agent)
    ]
    return generator.choice(hosts) if hosts else None


async def crash_target(deployment: Deployment, generator: Random) -> None:
    """Crash a target and start a new one on its host after a random delay."""
    agent = _choose_target_host(deployment, generator)
    if agent is None:
        return
    deployment.unavailable_target_ips.add(agent.ip)
    with deployment.promises.unplanned_fault(agent.ip):
        target = deployment.targets_by_ip[agent.ip]
        target.crash()
        await sleep(_draw_duration(generator))
        deployment.remove_entry(target)
        deployment.add_target(agent, WARMUP_S)
    deployment.unavailable_target_ips.discard(agent.ip)
    await deployment.load_cold_target(agent)


async def _drain_target(deployment: Deployment, agent: Host) -> None:
    """Drain a target for DRAIN_S seconds and remove it."""
    target = deployment.targets_by_ip[agent.ip]
    target.leaving = True
    deployment.publish_target(target, agent)
    deployment.promises.draining_since_by_id[target.target_id] = deployment.now()
    await sleep(DRAIN_S)
    target.crash()
    deployment.remove_entry(target)


async def replace_target(deployment: Deployment, generator: Random) -> None:
    """Drain a target and start a new one on its host."""
    agent = _choose_target_host(deployment, generator)
    if agent is None:
        return
    deployment.unavailable_target_ips.add(agent.ip)
    await _drain_target(deployment, agent)
    deployment.add_target(agent, WARMUP_S)
    deployment.unavailable_target_ips.discard(agent.ip)
    await deployment.load_cold_target(agent)


async def restart_beside_new_target(deployment: Deployment, generator: Random) -> None:
    """Replace a target, restart its agent soon after, and change a route."""
    agent = _choose_target_host(deployment, generator)
    if agent is None or agent.is_busy:
        return
    deployment.unavailable_target_ips.add(agent.ip)
    agent.is_busy = True
    await _drain_target(deployment, agent)
    deployment.add_target(agent)
    deployment.unavailable_target_ips.discard(agent.ip)
    await sleep(generator.uniform(0.0, MAX_EARLY_S))
    await deployment.stop_process(agent)
    await deployment.start_process(agent)
    await change_services(deployment, generator)
    await sleep(READINESS_DELAY_S)
    await deployment.check_serving(agent)
    agent.is_busy = False


async def write_malformed_entry(deployment: Deployment, generator: Random) -> None:
    """Write an entry of another writer, and delete it after a random time."""
    key = f"servers/tmp-{generator.getrandbits(32)}"
    deployment.store.put(key, generator.choice(MALFORMED_VALUES))
    await sleep(_draw_duration(generator))
    if key in deployment.store.items_by_key:
        deployment.store.delete(key)


async def reuse_address(deployment: Deployment, generator: Random) -> None:
    """Move the address of a target to the other service.

    As in planned maintenance, the target is drained and its agent restarted.
    """
    agent = _choose_target_host(deployment, generator)
    served = [each.service for each in deployment.agents]
    if agent is None or agent.is_busy or served.count(agent.service) <= MIN_TARGETS:
        return
    deployment.unavailable_target_ips.add(agent.ip)
    agent.is_busy = True
    await _drain_target(deployment, agent)
    await deployment.stop_process(agent)
    (agent.service,) = set(served) - {agent.service}
    await deployment.start_process(agent)
    deployment.add_target(agent, WARMUP_S)
    await deployment.load_cold_target(agent)
    await deployment.check_serving(agent)
    agent.is_busy = False
    deployment.unavailable_target_ips.discard(agent.ip)


async def change_routes(deployment: Deployment, generator: Random) -> None:
    """Add a route, or remove one that an earlier call added."""
    added = sorted(deployment.routes)[2:]
    routes = dict(deployment.routes)
    if added and (len(routes) >= MAX_ROUTES or generator.random() < 0.5):
        del routes[generator.choice(added)]
    else:
        number = generator.randrange(10, 250)
        routes[Address(f"198.18.1.{number}", 443)] = generator.choice(
            ("feeds", "reels")
        )
    deployment.publish_routes(routes)


async def change_services(deployment: Deployment, generator: Random) -> None:
    """Let a route name the other service; its connections stay open."""
    added = sorted(deployment.routes)[2:]
    if not added:
        return
    address = generator.choice(added)
    (service,) = {"feeds", "reels"} - {deployment.routes[address]}
    deployment.publish_routes({**deployment.routes, address: service})


FAULTS: tuple[Fault, ...] = (
    kill_process,
    pause_process,
    restart_process,
    restart_process,
    restart_in_turn,
    restart_in_turn,
    send_hangup,
    send_hangup,
    rewrite_settings,
    harm_link,
    harm_link,
    harm_store_link,
    harm_store,
    restore_store,
    crash_target,
    replace_target,
    reuse_address,
    restart_beside_new_target,
    write_malformed_entry,
    change_routes,
    change_services,
    change_services,
    evacuate_zone,
    evacuate_zone,
)


async def run_faults(
    deployment: Deployment, generator: Random, seconds: float, quiet: float
) -> None:
    """Run overlapping faults for `seconds`, then none for `quiet` seconds."""
    running = set()
    end = deployment.now() + seconds
    while deployment.now() < end:
        await sleep(generator.uniform(MIN_GAP_S, MAX_GAP_S))
        fault = generator.choice(FAULTS)
        deployment.promises.counts[fault.__name__] += 1
        running.add(create_task(fault(deployment, generator)))
        for task in [task for task in running if task.done()]:
            task.result()
            running.discard(task)
        deployment.check_tasks()
    await gather(*running)
    await sleep(quiet)
    deployment.check_tasks()
