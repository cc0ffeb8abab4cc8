"""Faults of a path of datagrams, and the socket that sets them."""

from asyncio import DatagramProtocol, get_running_loop
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from json import dumps, loads
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket


@dataclass(frozen=True, slots=True)
class Fault:
    """What happens to the packets of one path in one direction.

    `drop`, `duplicate` and `reorder` are probabilities; `delay` is in seconds.
    A reordered packet is held back for `reorder_delay` seconds.
    """

    drop: float = 0.0
    delay: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    reorder_delay: float = 0.02


NO_FAULT = Fault()


def deliver(
    fault: Fault, send: Callable[[], None], generator: Random, counters: Counter
) -> None:
    """Call `send` now, later, twice or never, as `fault` says."""
    if fault is NO_FAULT:
        send()
        return
    chance = generator.random
    if chance() < fault.drop:
        counters["dropped"] += 1
        return
    copies = 1
    if chance() < fault.duplicate:
        counters["duplicated"] += 1
        copies = 2
    for _copy in range(copies):
        delay = fault.delay
        if chance() < fault.reorder:
            counters["reordered"] += 1
            delay += fault.reorder_delay
        if delay:
            get_running_loop().call_later(delay, send)
        else:
            send()


def send_command(
    address: tuple[str, int], command: str, fields: dict, timeout: float
) -> dict:
    """Run a command of a control socket and return the answer.

    Raises
    ------
    TimeoutError
        If there is no answer within `timeout` seconds.
    ValueError
        If the command is refused.
    """
    with socket(AF_INET, SOCK_DGRAM) as control:
        control.settimeout(timeout)
        control.sendto(dumps({"command": command, **fields}).encode(), address)
        answer = loads(control.recv(65535))
    if "error" in answer:
        raise ValueError(answer["error"])
    return answer


class Control(DatagramProtocol):
    """Socket that takes JSON commands.

    Parameters
    ----------
    run_command : callable
        Takes a command and returns the answer, both as plain values.
    """

    def __init__(self, run_command: Callable[[dict], dict]):
        self._run_command = run_command
        self._transport = None

    def connection_made(self, transport):
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, datagram, remote):
        """Run one command and answer it."""
        try:
            answer = self._run_command(loads(datagram))
        except (ValueError, TypeError) as error:
            answer = {"error": str(error)}
        self._transport.sendto(dumps(answer).encode(), remote)
