"""Simulated network on loopback that can delay and drop datagrams."""

from asyncio import AbstractEventLoop, DatagramProtocol, get_running_loop
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lycheeglade.address import Address
from soak.proxied_socket import unwrap_datagram, wrap_datagram

Receiver = Callable[[bytes, Address], None]


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault of the datagrams in one direction of a link.

    Attributes
    ----------
    source, destination : str
        IP addresses; an empty address matches all hosts.
    loss : float
        Share of the datagrams that are dropped; 1 cuts the link.
    delay : float
        Delay of each datagram in seconds.
    """

    source: str
    destination: str
    loss: float = 0.0
    delay: float = 0.0

    def covers(self, source: str, destination: str) -> bool:
        """Return whether the fault affects the link."""
        return self.source in ("", source) and self.destination in ("", destination)


class Network(DatagramProtocol):
    """A proxy for datagrams between processes, callers and targets."""

    def __init__(self, generator: Random):
        self.faults: set[LinkFault] = set()
        self._generator = generator
        self._receivers_by_address: dict[Address, Receiver] = {}
        self._transport = None
        self._loop: AbstractEventLoop = get_running_loop()

    async def start(self, address: Address) -> None:
        """Open the proxy's socket at `address`."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def stop(self) -> None:
        """Close the proxy's socket."""
        self._transport.close()

    def attach(self, address: Address, receive: Receiver) -> None:
        """Register the receiver of datagrams to a caller or target."""
        self._receivers_by_address[address] = receive

    def connection_made(self, transport) -> None:
        """Store the transport of the proxy's socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Forward a datagram that a process sent through the proxy."""
        destination, datagram = unwrap_datagram(data)
        self.send(Address(*addr), destination, datagram)

    def send(self, source: Address, destination: Address, datagram: bytes) -> None:
        """Deliver a datagram, subject to the faults of its link."""
        delay = 0.0
        # Faults don't affect datagrams within a host, such as those between a
        # target and its agent.
        if source.ip != destination.ip:
            for fault in self.faults:
                if fault.covers(source.ip, destination.ip):
                    if self._generator.random() < fault.loss:
                        return
                    delay = max(delay, fault.delay)
        if delay:
            self._loop.call_later(delay, self._deliver, source, destination, datagram)
        else:
            self._deliver(source, destination, datagram)

    def _deliver(self, source: Address, destination: Address, datagram: bytes) -> None:
        receive = self._receivers_by_address.get(destination)
        if receive is not None:
            receive(datagram, source)
        elif not self._transport.is_closing():
            self._transport.sendto(wrap_datagram(source, datagram), destination)
