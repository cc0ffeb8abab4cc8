"""Loopback network of the soak, which delays, loses and cuts."""

from asyncio import AbstractEventLoop, DatagramProtocol, get_running_loop
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lycheeglade.address import Address
from soak.process import unwrap_datagram, wrap_datagram

Receiver = Callable[[bytes, Address], None]


@dataclass(frozen=True, slots=True)
class LinkFault:
    """What happens to the datagrams of a link.

    Attributes
    ----------
    source, destination : str
        IP addresses; an empty one stands for all.
    loss : float
        Share that is lost, 1 for a link that is cut.
    delay : float
        Seconds that each datagram is late.
    """

    source: str
    destination: str
    loss: float = 0.0
    delay: float = 0.0

    def covers(self, source: str, destination: str) -> bool:
        """Tell whether the fault is on this link."""
        return self.source in ("", source) and self.destination in ("", destination)


class Network(DatagramProtocol):
    """Carries datagrams between processes, callers and targets."""

    def __init__(self, generator: Random):
        self.faults: set[LinkFault] = set()
        self._generator = generator
        self._receivers_by_address: dict[Address, Receiver] = {}
        self._transport = None
        self._loop: AbstractEventLoop = get_running_loop()

    async def start(self, address: Address) -> None:
        """Take the datagrams of the processes at `address`."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def stop(self) -> None:
        """Close the proxy's socket."""
        self._transport.close()

    def attach(self, address: Address, receive: Receiver) -> None:
        """Hand what is sent to `address` to a caller or target in here."""
        self._receivers_by_address[address] = receive

    def connection_made(self, transport) -> None:
        """Take the proxy's socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Pass on what a process sends."""
        destination, datagram = unwrap_datagram(data)
        self.send(Address(*addr), destination, datagram)

    def send(self, source: Address, destination: Address, datagram: bytes) -> None:
        """Carry a datagram, unless a fault loses it."""
        delay = 0.0
        # A target and its agent stand on one host.
        if source.ip != destination.ip:
            for fault in self.faults:
                if fault.covers(source.ip, destination.ip):
                    if self._generator.random() < fault.loss:
                        return
                    delay = max(delay, fault.delay)
        if delay:
            self._loop.call_later(delay, self._hand_over, source, destination, datagram)
        else:
            self._hand_over(source, destination, datagram)

    def _hand_over(
        self, source: Address, destination: Address, datagram: bytes
    ) -> None:
        receive = self._receivers_by_address.get(destination)
        if receive is not None:
            receive(datagram, source)
        elif not self._transport.is_closing():
            self._transport.sendto(wrap_datagram(source, datagram), destination)
