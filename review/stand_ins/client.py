"""Clients, and the routers that forward their packets to edge nodes."""

from asyncio import DatagramProtocol, Event, gather, get_running_loop, sleep, timeout
from contextlib import suppress
from dataclasses import dataclass, field
from hashlib import blake2s
from random import Random

from review.stand_ins.machines import DATAGRAM_PORT, Machine
from review.stand_ins.packet import ACK, FIN, RST, SPACE, SYN, decode, distance, encode
from review.stand_ins.record import Record

COPIES_S = (0.0, 0.2, 0.6)
OPENING_S = 1.4
FIRST_RETRY_S, MAX_RETRY_S = 0.2, 1.6
PROBE_S = 0.5
MISSES = 2


class Router:
    """Routers: each flow goes to a node of its client's zone by hash.

    A node is out of rotation after two missed probes. If fewer than half of
    the zone's nodes are in rotation, all of them are used; if none is, the
    other zones' nodes are.
    """

    def __init__(self, edges: list[Machine], record: Record):
        self.edges = edges
        self._record = record
        self._misses_by_name = {edge.name: 0 for edge in edges}

    async def probe(self) -> None:
        """Probe all nodes twice per second."""
        while True:
            await gather(*map(self._probe, self.edges), sleep(PROBE_S))

    async def _probe(self, edge: Machine) -> None:
        was_in = self.is_in_rotation(edge)
        misses = self._misses_by_name.get(edge.name, MISSES)
        self._misses_by_name[edge.name] = 0 if await edge.is_ready() else misses + 1
        if self.is_in_rotation(edge) != was_in:
            state = "out of" if was_in else "in"
            self._record(f"{edge.name} is {state} rotation")

    def is_in_rotation(self, edge: Machine) -> bool:
        """Return whether the routers forward packets to a node."""
        return self._misses_by_name.get(edge.name, MISSES) < MISSES

    def choose(self, zone: str, key: tuple) -> Machine:
        """Return the node for a flow of a client in `zone`."""
        own = [edge for edge in self.edges if edge.zone == zone]
        ready = [edge for edge in own if self.is_in_rotation(edge)]
        if not ready:
            others = [edge for edge in self.edges if self.is_in_rotation(edge)]
            usable = others or own
        else:
            usable = ready if 2 * len(ready) >= len(own) else own

        def weight(edge: Machine) -> bytes:
            return blake2s(f"{edge.ip} {key}".encode()).digest()

        return max(usable, key=weight)


@dataclass
class ClientFlow:
    """A flow at its client.

    Attributes
    ----------
    opened_at_by_copy : dict
        Time of the SYN and of each copy, by the number of copies before.
    resets : list
        Times and senders of resets that no target sent.
    """

    key: tuple
    seq: int
    begin: int | None = None
    ack: int = 0
    opened_at_by_copy: dict[int, float] = field(default_factory=dict)
    is_closed: bool = False
    resets: list[tuple[float, str]] = field(default_factory=list)
    was_reset: bool = False
    answers: list[bytes] = field(default_factory=list)
    changed: Event = field(default_factory=Event)


class Client(DatagramProtocol):
    """A client's address, from which it opens flows."""

    def __init__(self, ip: str, zone: str, router: Router, record: Record):
        self.ip, self.zone = ip, zone
        self.forged = 0
        self.flows_by_key: dict[tuple, ClientFlow] = {}
        self._router, self._record = router, record
        self._random = Random()
        self._port = self._random.randrange(20_000, 30_000)
        self._loop = get_running_loop()

    async def start(self) -> None:
        """Open the client's port."""
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, DATAGRAM_PORT)
        )

    def close(self) -> None:
        """Close the client's port."""
        self._transport.close()

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Process a packet for this client."""
        packet = decode(data)
        flow = self.flows_by_key.get((packet.destination, packet.source))
        if flow is None:
            return
        if packet.flags & RST and not packet.is_genuine:
            self._take_reset(flow, addr[0])
        elif not packet.is_genuine:
            self.forged += 1
            self._record(f"client gets a forged packet on {flow.key[0]}")
        elif packet.flags & RST:
            flow.was_reset = True
            self._record(f"client gets a reset of the target on {flow.key[0]}")
        elif packet.flags & SYN:
            if flow.begin is None:
                flow.begin = packet.seq
                flow.ack = (packet.seq + 1) % SPACE
        elif packet.data and packet.seq == flow.ack:
            flow.ack = packet.end
            flow.answers.append(packet.data)
            self._send(flow, ACK)
        elif packet.data and distance(packet.seq, flow.ack) > 0:
            self._send(flow, ACK)
        flow.changed.set()

    def _take_reset(self, flow: ClientFlow, sender: str) -> None:
        now = self._record(f"client gets a reset from {sender} on {flow.key[0]}")
        flow.resets.append((now, sender))
        flow.was_reset = True

    def _send(self, flow: ClientFlow, flags: int, data: bytes = b"") -> str:
        edge = self._router.choose(self.zone, flow.key)
        datagram = encode(flags, *flow.key, flow.seq, flow.ack, data)
        self._transport.sendto(datagram, (edge.ip, DATAGRAM_PORT))
        return edge.name

    def new_flow(self, route: tuple[str, int]) -> ClientFlow:
        """Return a flow from a new port."""
        self._port += 1
        flow = ClientFlow(((self.ip, self._port), route), self._random.randrange(SPACE))
        self.flows_by_key[flow.key] = flow
        return flow

    async def open(self, flow: ClientFlow) -> bool:
        """Send the SYN and its copies; return whether a SYN+ACK came."""
        began_at = self._loop.time()
        for copies, offset in enumerate(COPIES_S):
            await self._wait(flow, began_at + offset, lambda: flow.begin is not None)
            if flow.begin is not None or flow.was_reset:
                break
            edge = self._router.choose(self.zone, flow.key)
            datagram = encode(SYN, *flow.key, flow.seq, copies)
            self._transport.sendto(datagram, (edge.ip, DATAGRAM_PORT))
            sent_at = self._record(
                f"client sends SYN {copies} of {flow.key[0]} to {edge.name}"
            )
            flow.opened_at_by_copy[copies] = sent_at
        await self._wait(flow, began_at + OPENING_S, lambda: flow.begin is not None)
        if flow.begin is None or flow.was_reset:
            self._record(f"client fails to open {flow.key[0]}")
            return False
        flow.seq = (flow.seq + 1) % SPACE
        return True

    async def request(self, flow: ClientFlow, name: str, budget_s: float) -> bool:
        """Send a request; return whether it was answered in time."""
        text = f"GET /{name} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\n\r\n"
        data, answers = text.encode(), len(flow.answers)
        began_at = self._loop.time()
        pause, send_at, first = FIRST_RETRY_S, began_at, True
        while self._loop.time() < began_at + budget_s and not flow.was_reset:
            edge = self._send(flow, ACK, data)
            if first:
                self._record(f"client sends {name} on {flow.key[0]} to {edge}")
            first = False
            send_at += pause
            pause = min(2 * pause, MAX_RETRY_S)
            until = min(send_at, began_at + budget_s)
            await self._wait(flow, until, lambda: len(flow.answers) > answers)
            if len(flow.answers) > answers:
                break
        is_answered = len(flow.answers) > answers
        if is_answered:
            is_own = f"answer to {name}".encode() in flow.answers[-1]
            self._record(
                f"client gets {'its' if is_own else 'a FOREIGN'} answer {name}"
            )
            flow.seq = (flow.seq + len(data)) % SPACE
        else:
            self._record(f"client gets no answer to {name}")
        return is_answered

    async def request_once(
        self, route: tuple[str, int], name: str, budget_s: float
    ) -> bool:
        """Send a request on its own flow; return whether it was served."""
        flow = self.new_flow(route)
        is_served = await self.open(flow) and await self.request(flow, name, budget_s)
        self.finish(flow)
        return is_served

    def finish(self, flow: ClientFlow) -> None:
        """Close a flow."""
        flow.is_closed = True
        if flow.begin is not None and not flow.was_reset:
            self._send(flow, FIN | ACK)

    def forget(self, flow: ClientFlow) -> None:
        """Drop a flow that is over."""
        self.flows_by_key.pop(flow.key, None)

    async def _wait(self, flow: ClientFlow, until: float, is_met) -> None:
        while not (is_met() or flow.was_reset):
            left = until - self._loop.time()
            if left <= 0.0:
                return
            flow.changed.clear()
            with suppress(TimeoutError):
                async with timeout(left):
                    await flow.changed.wait()
