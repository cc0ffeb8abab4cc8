from asyncio import create_task, gather, sleep
from contextlib import asynccontextmanager
from os import getpid
from random import Random
from time import monotonic

from pynng import Req0

from demo.platform import Mode, Platform, start_platform
from lycheeglade.address import Address, Zone
from lycheeglade.blackboard import Blackboard
from lycheeglade.configuration import format_hosts, format_service
from lycheeglade.failures import FailureLog
from lycheeglade.gossip import follow_configuration
from lycheeglade.histograms import Metrics
from lycheeglade.settings import Settings
from lycheeglade.view import Host, Protocol, Role, Service, Target
from lycheeglade.watch import is_view_fresh

PROPAGATION_S = 6.0
# Loopback addresses derived from the process id, so that concurrent runs don't
# collide.
NETWORK = f"127.{100 + getpid() % 100}.{1 + getpid() // 100 % 250}"
PLATFORM = Address(f"{NETWORK}.250", 8080)
ZONE = Zone("viti-west", "nadi-a")
SERVICE = "services/booth-sync"
HOSTS = f"hosts/{ZONE}"


def make_settings(number, seeds=()):
    ip = f"{NETWORK}.{number}"
    ports = [Address(ip, port) for port in (7100, 7200, 7300)]
    url = f"http://{PLATFORM}"
    return Settings(Role.BALANCER, f"b{number}", ZONE, *ports, url, seeds)


def service_text(weight):
    target = Target(
        "a", "h", ZONE, Address("127.2.0.1", 1), Address("127.2.0.1", 2), weight
    )
    addresses, places = (Address("127.10.0.1", 5683),), ("viti-west",)
    protocol = Protocol.COAP
    return format_service(
        Service("booth-sync", "t", 0, protocol, addresses, places, {"a": target})
    )


def hosts_text(all_settings):
    return format_hosts(
        Host(each.host_id, each.role, each.zone, each.packets, each.control)
        for each in all_settings
    )


class Process:
    """One process's configuration tasks, run in the event loop of the test."""

    def __init__(self, settings, seed):
        self.settings = settings
        self.blackboard = Blackboard()
        self.metrics = Metrics()
        self.revisions = []
        self.blackboard.view.subscribe(lambda v: self.revisions.append(v.revision))
        self.task = create_task(
            follow_configuration(
                settings, self.blackboard, Random(seed), FailureLog(self.metrics)
            )
        )

    @property
    def weight(self):
        services = self.blackboard.view.value.services_by_name
        if "booth-sync" not in services:
            return None
        return services["booth-sync"].targets_by_id["a"].weight

    async def stop(self):
        self.task.cancel()
        await gather(self.task, return_exceptions=True)


@asynccontextmanager
async def run_processes(count, publish=True):
    platform = Platform()
    all_settings = [make_settings(number + 1) for number in range(count)]
    platform.put(HOSTS, hosts_text([*all_settings, make_settings(9)]))
    if publish:
        platform.put(SERVICE, service_text(1.0))
    runner = await start_platform(platform, PLATFORM)
    processes = [Process(each, seed) for seed, each in enumerate(all_settings)]
    try:
        yield platform, processes
        for process in processes:
            assert not process.task.done(), process.task.exception()
            assert process.revisions == sorted(process.revisions)
    finally:
        await gather(*(process.stop() for process in processes))
        await runner.cleanup()


async def wait_for_weight(processes, weight):
    deadline = monotonic() + PROPAGATION_S
    while any(process.weight != weight for process in processes):
        assert monotonic() < deadline, [process.weight for process in processes]
        await sleep(0.01)


async def test_change_is_in_force_and_an_invalid_one_is_refused():
    async with run_processes(2) as (platform, processes):
        await wait_for_weight(processes, 1.0)
        platform.put(SERVICE, service_text(2.0))
        await wait_for_weight(processes, 2.0)
        platform.put(SERVICE, service_text(3.0).replace("weight", "wieght"))
        await sleep(0.7)
        assert [process.weight for process in processes] == [2.0, 2.0]
        platform.put(SERVICE, service_text(4.0))
        await wait_for_weight(processes, 4.0)


async def test_process_that_starts_with_the_platform_down_learns_from_peers():
    async with run_processes(2) as (platform, processes):
        await wait_for_weight(processes, 1.0)
        invalid = service_text(3.0).replace("weight", "wieght")
        platform.put(SERVICE, invalid)
        await sleep(0.5)
        platform.set_mode(Mode.DOWN)
        seeded = Process(make_settings(9, (processes[0].settings.control,)), 9)
        processes.append(seeded)
        await wait_for_weight(processes, 1.0)
        await processes[0].stop()
        seeds = (processes[1].settings.control,)
        processes[0] = Process(make_settings(1, seeds), 10)
        await wait_for_weight(processes, 1.0)


async def test_change_seen_by_one_process_reaches_the_others():
    async with run_processes(3) as (platform, processes):
        await wait_for_weight(processes, 1.0)
        platform.set_mode(Mode.DOWN)
        platform.put(SERVICE, service_text(2.0))
        await sleep(0.3)
        real_find, platform.mode = platform.latest_after, Mode.OK
        served = []

        def latest_after(revision):
            """Return the change to the first reader only."""
            if served and len(served) < 2:
                return []
            served.append(revision)
            return real_find(revision)

        platform.latest_after = latest_after
        platform.notify_watchers()
        await wait_for_weight(processes, 2.0)


async def test_stale_and_old_platform_change_nothing_back():
    async with run_processes(2) as (platform, processes):
        await wait_for_weight(processes, 1.0)
        platform.put(SERVICE, service_text(2.0))
        await wait_for_weight(processes, 2.0)
        platform.set_mode(Mode.OLD)
        await sleep(1.0)
        assert [process.weight for process in processes] == [2.0, 2.0]
        platform.set_mode(Mode.STALE)
        platform.put(SERVICE, service_text(3.0))
        await sleep(0.3)
        platform.set_mode(Mode.OK)
        await wait_for_weight(processes, 3.0)


async def test_garbage_on_the_control_address_changes_nothing():
    async with run_processes(1) as (platform, processes):
        await wait_for_weight(processes, 1.0)
        control = processes[0].settings.control
        for data in (b"", b"\x01", b"\x02xx", b"\x01\x00\x92\xa1E\x01", b"\x01\x01zz"):
            with Req0(send_timeout=500) as socket:
                socket.dial(f"tcp://{control}")
                await socket.asend(data)
        platform.put(SERVICE, service_text(2.0))
        await wait_for_weight(processes, 2.0)


async def test_view_is_asked_for_again_after_a_pause():
    async with run_processes(2) as (_, processes):
        await wait_for_weight(processes, 1.0)
        blackboard = processes[0].blackboard
        await sleep(0.1)
        assert is_view_fresh(blackboard.checked_at.value, monotonic())
        paused_since = monotonic() - 60.0
        blackboard.checked_at.write(paused_since)
        assert not is_view_fresh(blackboard.checked_at.value, monotonic())
        await sleep(3.0)
        assert is_view_fresh(blackboard.checked_at.value, monotonic())
        assert blackboard.contact_at.value > monotonic() - 5.0
