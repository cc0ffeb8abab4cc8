"""Disturbances of the start of a process.

A disturbance begins before its first `await`, with which `start_disturbed`
starts the process, and has ended when it returns.
"""

from asyncio import create_task, gather, sleep
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from os import O_WRONLY, close, pipe, set_blocking, write
from os import open as open_device
from random import Random
from select import PIPE_BUF
from signal import SIGCONT, SIGSTOP
from socket import SO_REUSEADDR, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket

from soak.deployment import Deployment, Host
from tests.platform_process import (
    DATAGRAM_PORT,
    INTERNAL_PORT,
    OUTBOUND_PORT,
    READY_PORT,
)

METRICS_PORT = 9464
# Sockets of a process by role: the kind and the port of each.
COMMON_SOCKETS = (
    (SOCK_STREAM, METRICS_PORT),
    (SOCK_STREAM, READY_PORT),
    (SOCK_DGRAM, INTERNAL_PORT),
)
SOCKETS_BY_ROLE = {
    "balancer": (
        *COMMON_SOCKETS,
        (SOCK_STREAM, INTERNAL_PORT),
        (SOCK_DGRAM, DATAGRAM_PORT),
    ),
    "agent": (*COMMON_SOCKETS, (SOCK_DGRAM, OUTBOUND_PORT)),
}
MIN_HELD_S, MAX_HELD_S = 0.1, 3.0
DAMAGES = ("absent", "empty", "cut off")
OUTPUTS = ("closed", "no reader", "full pipe", "full device")
MIN_DAMAGED_S, MAX_DAMAGED_S = 0.05, 1.0
# Seeds that can't be parsed; a port follows each.
MALFORMED_SEEDS = ("", "nowhere", "10.0.0.256", "10.0.0.1:x")
# A host with about 0.24 cores, whose scheduler grants them in turns.
RUNNING_S, TURN_S = 0.024, 0.1
MIN_SLOW_S, MAX_SLOW_S = 1.0, 4.0
# Numbers of simultaneous disturbances, one of which is chosen.
DISTURBANCES_AT_ONCE = (0, 1, 1, 2)
EARLY_STOP_SHARE = 0.3

Disturbance = Callable[[Deployment, Host, Random], Awaitable[None]]


@contextmanager
def holding_address(host: Host, kind: int, port: int) -> Iterator[None]:
    """Hold an address of a host while the block runs."""
    with socket(type=kind) as holder:
        if kind == SOCK_STREAM:
            # Former connections of the address may not have expired.
            holder.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        holder.bind((host.ip, port))
        if kind == SOCK_STREAM:
            holder.listen()
        yield


async def hold_address(deployment: Deployment, host: Host, generator: Random) -> None:
    """Hold an address of the process that starts for a random time."""
    kind, port = generator.choice(SOCKETS_BY_ROLE[host.role])
    host.disturbances.append(f"{kind.name} {port} held")
    with holding_address(host, kind, port):
        await sleep(generator.uniform(MIN_HELD_S, MAX_HELD_S))


async def damage_settings(
    deployment: Deployment, host: Host, generator: Random
) -> None:
    """Remove, empty or cut off the settings file, and soon write it again.

    The process gets no signal then.
    """
    name, share = generator.choice(DAMAGES), generator.random()
    host.disturbances.append(f"settings {name}")
    host.damage = partial(damage_text, name, share)
    deployment.write_settings(host)
    await sleep(generator.uniform(MIN_DAMAGED_S, MAX_DAMAGED_S))
    host.damage = str
    deployment.write_settings(host)


def damage_text(name: str, share: float, text: str) -> str | None:
    """Return what is left of a settings file, None if it is absent."""
    if name == "absent":
        return None
    return "" if name == "empty" else text[: int(share * len(text))]


async def add_malformed_seed(
    deployment: Deployment, host: Host, generator: Random
) -> None:
    """Add a seed that can't be parsed to the settings."""
    host.extra_seeds = (generator.choice(MALFORMED_SEEDS),)
    host.disturbances.append(f"malformed seed {host.extra_seeds[0]!r}")
    await sleep(generator.uniform(MIN_DAMAGED_S, MAX_DAMAGED_S))
    host.extra_seeds = ()


@contextmanager
def broken_output(host: Host, name: str) -> Iterator[None]:
    """Start processes of a host with a broken standard output.

    Parameters
    ----------
    name : str
        One of OUTPUTS.
    """
    descriptors = []
    host.has_output = name != "closed"
    if name == "full device":
        descriptors.append(open_device("/dev/full", O_WRONLY))
        host.output = descriptors[0]
    elif name != "closed":
        reader, host.output = pipe()
        descriptors += [reader, host.output]
        if name == "no reader":
            close(descriptors.pop(0))
        else:
            _fill_pipe(host.output)
    try:
        yield
    finally:
        host.has_output, host.output = True, None
        for descriptor in descriptors:
            close(descriptor)


def _fill_pipe(descriptor: int) -> None:
    set_blocking(descriptor, False)
    try:
        while True:
            write(descriptor, b"." * PIPE_BUF)
    except BlockingIOError:
        set_blocking(descriptor, True)


async def break_output(deployment: Deployment, host: Host, generator: Random) -> None:
    """Break the standard output of the process that starts."""
    name = generator.choice(OUTPUTS)
    host.disturbances.append(f"standard output: {name}")
    with broken_output(host, name):
        await sleep(generator.uniform(MIN_HELD_S, MAX_HELD_S))


async def slow_down(deployment: Deployment, host: Host, generator: Random) -> None:
    """Let the process that starts run in short turns for a random time.

    A machine that is slowed down counts as disturbed.
    """
    host.slowdown = TURN_S / RUNNING_S
    host.disturbances.append("slowed down")
    end = deployment.now() + generator.uniform(MIN_SLOW_S, MAX_SLOW_S)
    with deployment.promises.unplanned_fault(host.ip):
        while deployment.now() < end:
            await sleep(RUNNING_S)
            deployment.send_signal(host, SIGSTOP)
            await sleep(TURN_S - RUNNING_S)
            deployment.send_signal(host, SIGCONT)
    host.slowdown = 1.0


DISTURBANCES: tuple[Disturbance, ...] = (
    hold_address,
    hold_address,
    damage_settings,
    damage_settings,
    add_malformed_seed,
    break_output,
    slow_down,
    slow_down,
)


async def start_disturbed(
    deployment: Deployment, host: Host, generator: Random
) -> None:
    """Start the process of a host under random disturbances.

    The process may be stopped and started again in the middle of its start.
    """
    count = generator.choice(DISTURBANCES_AT_ONCE)
    disturbances = {*generator.sample(DISTURBANCES, count)}
    host.disturbances.clear()
    tasks = [
        create_task(disturb(deployment, host, generator))
        for disturb in sorted(disturbances, key=DISTURBANCES.index)
    ]
    for disturb in disturbances:
        deployment.promises.counts[disturb.__name__] += 1
    await sleep(0)
    await deployment.start_process(host)
    if generator.random() < EARLY_STOP_SHARE:
        deployment.promises.counts["early-stop"] += 1
        await sleep(deployment.draw_signal_delay(host))
        await deployment.stop_process(host)
        await deployment.start_process(host)
    await gather(*tasks)
