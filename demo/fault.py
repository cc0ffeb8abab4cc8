"""Faults of a datagram path and the control socket that sets them."""

from asyncio import DatagramProtocol, get_running_loop
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from json import dumps, loads
from random import Random
from socket import AF_INET, SOCK_DGRAM, socket


@dataclass(frozen=True, slots=True)
class Fault:
    """Faults applied to the packets of a path in one direction.

    `drop`, `duplicate` and `reorder` are probabilities; `delay` is in seconds.
    A reordered packet is delayed by `reorder_delay` seconds.
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
    """Call `send` with the loss, delay and duplication of `fault`."""
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
    """Send a command to a control socket and return the answer.

    Raises
    ------
    TimeoutError
        If no answer arrives within `timeout` seconds.
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


class ControlSocket(DatagramProtocol):
    """Control socket that accepts JSON commands.

    Parameters
    ----------
    run_command : callable
        Takes a command and returns the answer, both as decoded JSON.
    """

    def __init__(self, run_command: Callable[[dict], dict]):
        self._run_command = run_command
        self._transport = None

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, datagram, remote):
        """Run a received command and send its answer."""
        try:
            answer = self._run_command(loads(datagram))
        except (ValueError, TypeError) as error:
            answer = {"error": str(error)}
        self._transport.sendto(dumps(answer).encode(), remote)
