"""Simulated callers that open connections and send requests on them."""

from asyncio import Event, get_running_loop, sleep
from asyncio import timeout as time_limit
from collections.abc import Callable
from random import Random

from lycheeglade.address import Address
from lycheeglade.segment import SEQUENCE_SPACE, ConnectionKey, Segment
from soak.network import Network
from soak.packets import ACK, FIN, RST, SYN, decode_segment, pack_segment
from soak.promises import ConnectionRecord, PromiseChecker

SYN_TIMES_S = (0.0, 0.2, 0.6)
HANDSHAKE_TIMEOUT_S = 1.4
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.6
REQUEST_TIMEOUT_S = 2.5
MAX_PAUSE_S = 0.3
LONG_CONNECTION_REQUESTS = 40
REQUEST_PAYLOAD = b"question"
FIRST_PORT = 20_000
LAST_PORT = 60_000


class Connection:
    """The state of one connection at its caller."""

    def __init__(self, key: ConnectionKey, sequence: int):
        self.key = key
        self.sequence = sequence
        self.acknowledgement: int | None = None
        self.is_reset = False
        self.answered: set[int] = set()
        self.changed = Event()

    def handle_segment(self, segment: Segment) -> None:
        """Update the connection from a segment that its caller received."""
        if segment.resets:
            self.is_reset = True
        elif segment.opens:
            if self.acknowledgement is None:
                self.acknowledgement = (segment.sequence + 1) % SEQUENCE_SPACE
        elif segment.data_bytes:
            self.answered.add(segment.acknowledgement - 1)
            self.acknowledgement = segment.end
        self.changed.set()


class Caller:
    """A caller that opens connections and sends requests on them.

    Parameters
    ----------
    choose_balancer : callable
        Returns the balancer to which the fabric sends a connection's packets.
    choose_route : callable
        Returns the address and the service of a route.
    """

    def __init__(
        self,
        address: Address,
        network: Network,
        promises: PromiseChecker,
        choose_balancer: Callable[[ConnectionKey], Address],
        choose_route: Callable[[], tuple[Address, str]],
        generator: Random,
    ):
        self._address = address
        self._network = network
        self._promises = promises
        self._choose_balancer = choose_balancer
        self._choose_route = choose_route
        self._generator = generator
        self._port = generator.randrange(FIRST_PORT, LAST_PORT)
        self._connections_by_key: dict[ConnectionKey, Connection] = {}
        network.attach(address, self._receive)

    async def run(self) -> None:
        """Open one connection after another until the task is cancelled."""
        while True:
            requests = self._generator.choice((1, LONG_CONNECTION_REQUESTS))
            await self.run_connection(*self._choose_route(), requests)
            await sleep(self._generator.uniform(0.0, MAX_PAUSE_S))

    async def run_connection(self, route: Address, service: str, requests: int) -> None:
        """Open a connection and send requests on it."""
        self._port = FIRST_PORT + (self._port + 1 - FIRST_PORT) % (
            LAST_PORT - FIRST_PORT
        )
        key = ConnectionKey(Address(self._address.ip, self._port), route)
        connection = Connection(key, self._generator.randrange(SEQUENCE_SPACE))
        now = get_running_loop().time()
        self._promises.records_by_key[key] = ConnectionRecord(service, now)
        self._connections_by_key[key] = connection
        try:
            if not await self._open(connection):
                self._promises.counts["not-opened"] += 1
                return
            for _ in range(requests):
                if not await self._send_request(connection):
                    self._promises.counts["unanswered"] += 1
                    self._send(connection, RST, connection.sequence)
                    return
                self._promises.counts["answered"] += 1
                await sleep(self._generator.uniform(0.0, MAX_PAUSE_S))
            self._send(connection, FIN | ACK, connection.sequence)
        finally:
            del self._connections_by_key[key]

    async def _open(self, connection: Connection) -> bool:
        began_at = get_running_loop().time()
        first = connection.sequence - 1
        for copy_number, offset in enumerate(SYN_TIMES_S):
            await self._wait_for_segment(connection, began_at + offset)
            if connection.is_reset or connection.acknowledgement is not None:
                break
            self._send(connection, SYN, first, copy_number)
        await self._wait_for_segment(connection, began_at + HANDSHAKE_TIMEOUT_S)
        if connection.is_reset or connection.acknowledgement is None:
            return False
        self._send(connection, ACK, connection.sequence)
        return True

    async def _send_request(self, connection: Connection) -> bool:
        """Send a request, retransmit it until answered, and return success.

        The request fails after REQUEST_TIMEOUT_S seconds or when the
        connection is reset.
        """
        began_at = get_running_loop().time()
        sequence = connection.sequence
        connection.sequence = (sequence + len(REQUEST_PAYLOAD)) % SEQUENCE_SPACE
        interval, send_at = FIRST_RETRY_S, began_at
        while send_at < began_at + REQUEST_TIMEOUT_S and not connection.is_reset:
            self._send(connection, ACK, sequence, content=REQUEST_PAYLOAD)
            send_at += interval
            interval = min(2 * interval, MAX_RETRY_S)
            await self._wait_for_segment(connection, send_at, sequence)
            if sequence in connection.answered:
                return True
        return False

    async def _wait_for_segment(
        self, connection: Connection, until: float, sequence: int | None = None
    ) -> None:
        """Wait for the expected segment or a reset, at most until `until`.

        The expected segment is the answer to the request at `sequence`, or the
        target's SYN-ACK if `sequence` is None.
        """
        loop = get_running_loop()
        while (remaining := until - loop.time()) > 0.0 and not connection.is_reset:
            if sequence is None and connection.acknowledgement is not None:
                return
            if sequence in connection.answered:
                return
            connection.changed.clear()
            try:
                async with time_limit(remaining):
                    await connection.changed.wait()
            except TimeoutError:
                return

    def _send(
        self,
        connection: Connection,
        flags: int,
        sequence: int,
        copy_number: int = 0,
        content: bytes = b"",
    ) -> None:
        key = connection.key
        balancer = self._choose_balancer(key)
        acknowledgement = copy_number if flags == SYN else connection.acknowledgement
        datagram = pack_segment(flags, key, sequence, acknowledgement, content)
        self._promises.record_sent(key, balancer.ip, datagram)
        self._network.send(self._address, balancer, datagram)

    def _receive(self, datagram: bytes, source: Address) -> None:
        segment = decode_segment(datagram)
        key = segment.key_from_target
        if segment.resets and not self._promises.was_sent_by_target(key, datagram):
            self._promises.record_reset(key, source.ip)
        else:
            self._promises.record_received(key, datagram)
        connection = self._connections_by_key.get(key)
        if connection is not None:
            connection.handle_segment(segment)
