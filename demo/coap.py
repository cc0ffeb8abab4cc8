"""CoAP message layer (RFC 7252, section 4) on one datagram socket.

Messages are encoded and decoded by ``aiocoap``. An endpoint needs only a
socket and a few dictionaries, so that one process can hold thousands of
callers.
"""

from asyncio import DatagramProtocol, get_running_loop
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from aiocoap import ACK, CON, EMPTY, NON, RST, Message
from aiocoap.error import Error as CoapError

Remote = tuple[str, int]

ACK_TIMEOUT_S = 2.0
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
MAX_REMEMBERED_MESSAGES = 4096
MAX_MESSAGE_ID = 0xFFFF


class LostError(Exception):
    """A request got no acknowledgement or answer, or was reset."""


def build_message(code, *, payload=b"", token=b"", mtype=NON, mid=None, **options):
    """Return a message; `options` are attributes of ``Message.opt``."""
    message = Message(code=code, payload=payload)
    message.mtype = mtype
    message.mid = mid
    message.token = token
    for name, value in options.items():
        setattr(message.opt, name, value)
    return message


def parse_query(message: Message) -> dict[str, str]:
    """Return the Uri-Query options as a mapping."""
    return dict(item.partition("=")[::2] for item in message.opt.uri_query)


@dataclass(slots=True)
class Exchange:
    """A confirmable message that awaits its acknowledgement."""

    datagram: bytes
    remote: Remote
    timeout: float
    retransmissions_left: int
    on_lost: Callable[[], None] | None
    on_reset: Callable[[], None] | None
    timer: object = field(default=None)


class Endpoint(DatagramProtocol):
    """Sends, acknowledges, retransmits and deduplicates messages.

    Parameters
    ----------
    generator : Random
        Source of message ids and time-out jitter.
    on_request, on_response : callable
        Called with each new message and its sender.
    on_duplicate : callable
        Called with each duplicate message.
    ack_timeout : float
        Seconds until the first retransmission.
    """

    def __init__(
        self,
        generator: Random,
        on_request: Callable[[Message, Remote], None] | None = None,
        on_response: Callable[[Message, Remote], None] | None = None,
        on_duplicate: Callable[[Message], None] | None = None,
        ack_timeout: float = ACK_TIMEOUT_S,
        max_retransmit: int = MAX_RETRANSMIT,
    ):
        self.on_request = on_request
        self.on_response = on_response
        self.on_duplicate = on_duplicate
        self.malformed = 0
        self.retransmitted = 0
        self._generator = generator
        self._ack_timeout = ack_timeout
        self._max_retransmit = max_retransmit
        self._next_mid = generator.randrange(MAX_MESSAGE_ID)
        self._exchanges_by_key: dict[tuple[Remote, int], Exchange] = {}
        self._replies_by_key: OrderedDict[tuple, bytes | None] = OrderedDict()
        self._transport = None
        self._loop = None

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport
        self._loop = get_running_loop()

    @property
    def local(self) -> Remote:
        """Address and port of the open socket."""
        return self._transport.get_extra_info("sockname")

    def error_received(self, exc):
        """Ignore an ICMP error; retransmission recovers lost messages."""

    def close(self) -> None:
        """Stop all retransmissions and close the socket."""
        for exchange in self._exchanges_by_key.values():
            exchange.timer.cancel()
        self._exchanges_by_key.clear()
        if self._transport is not None:
            self._transport.close()

    def allocate_mid(self) -> int:
        """Return the next message id."""
        self._next_mid = (self._next_mid + 1) & MAX_MESSAGE_ID
        return self._next_mid

    def datagram_received(self, datagram, remote):
        """Process a received datagram."""
        try:
            message = Message.decode(datagram)
        except (CoapError, ValueError, IndexError):
            self.malformed += 1
            return
        if message.mtype in (ACK, RST):
            self._complete_exchange(message, remote)
        if message.code == EMPTY:
            if message.mtype == CON:
                self._send_empty(RST, message.mid, remote)
            return
        if message.mtype == ACK:
            self._deliver(message, remote)
        elif message.mtype != RST:
            self._handle_message(message, remote)

    def reply(self, request: Message, remote: Remote, response: Message) -> None:
        """Send `response`, piggybacked unless `request` was acknowledged."""
        response.token = request.token
        key = (remote, request.mid, request.token)
        if self._replies_by_key.get(key) is not None:
            response.mtype = CON
            self.send(response, remote)
            return
        response.mid = request.mid if request.mtype == CON else self.allocate_mid()
        response.mtype = ACK if request.mtype == CON else NON
        datagram = response.encode()
        if key in self._replies_by_key:
            self._replies_by_key[key] = datagram
        self._transport.sendto(datagram, remote)

    def acknowledge(self, request: Message, remote: Remote) -> None:
        """Acknowledge `request`, whose response follows separately."""
        if request.mtype == CON:
            datagram = build_message(EMPTY, mtype=ACK, mid=request.mid).encode()
            self._replies_by_key[(remote, request.mid, request.token)] = datagram
            self._transport.sendto(datagram, remote)

    def send(self, message: Message, remote: Remote, on_lost=None, on_reset=None):
        """Send a message; retransmit it until acknowledged if confirmable.

        Returns
        -------
        int
            The message id.
        """
        message.mid = self.allocate_mid()
        datagram = message.encode()
        if message.mtype == CON:
            self.send_confirmable(datagram, message.mid, remote, on_lost, on_reset)
        else:
            self._transport.sendto(datagram, remote)
        return message.mid

    def send_confirmable(
        self, datagram: bytes, mid: int, remote: Remote, on_lost=None, on_reset=None
    ) -> None:
        """Send an encoded message; retransmit it until acknowledged."""
        factor = self._generator.uniform(1.0, ACK_RANDOM_FACTOR)
        timeout = self._ack_timeout * factor
        exchange = Exchange(
            datagram, remote, timeout, self._max_retransmit, on_lost, on_reset
        )
        self._exchanges_by_key[(remote, mid)] = exchange
        self._transport.sendto(datagram, remote)
        exchange.timer = self._loop.call_later(
            timeout, self._retransmit, (remote, mid), exchange
        )

    def stop_retransmission(self, remote: Remote, mid: int) -> None:
        """Stop retransmitting a message."""
        exchange = self._exchanges_by_key.pop((remote, mid), None)
        if exchange is not None:
            exchange.timer.cancel()

    def send_reset(self, message: Message, remote: Remote) -> None:
        """Reject `message` with a reset."""
        self._send_empty(RST, message.mid, remote)

    def _retransmit(self, key, exchange: Exchange):
        if exchange.retransmissions_left == 0:
            self._exchanges_by_key.pop(key, None)
            if exchange.on_lost is not None:
                exchange.on_lost()
            return
        exchange.retransmissions_left -= 1
        exchange.timeout *= 2
        self.retransmitted += 1
        self._transport.sendto(exchange.datagram, exchange.remote)
        exchange.timer = self._loop.call_later(
            exchange.timeout, self._retransmit, key, exchange
        )

    def _complete_exchange(self, message: Message, remote: Remote):
        exchange = self._exchanges_by_key.pop((remote, message.mid), None)
        if exchange is None:
            return
        exchange.timer.cancel()
        if message.mtype == RST and exchange.on_reset is not None:
            exchange.on_reset()

    def _handle_message(self, message: Message, remote: Remote):
        key = (remote, message.mid, message.token)
        if key in self._replies_by_key:
            datagram = self._replies_by_key[key]
            if datagram is not None:
                self._transport.sendto(datagram, remote)
            if self.on_duplicate is not None:
                self.on_duplicate(message)
            return
        self._replies_by_key[key] = None
        if len(self._replies_by_key) > MAX_REMEMBERED_MESSAGES:
            self._replies_by_key.popitem(last=False)
        self._deliver(message, remote)

    def _deliver(self, message: Message, remote: Remote):
        if message.code.is_request() and self.on_request is not None:
            self.on_request(message, remote)
        elif message.code.is_response() and self.on_response is not None:
            self.on_response(message, remote)
        elif message.mtype == CON:
            self.send_reset(message, remote)

    def _send_empty(self, mtype, mid: int, remote: Remote):
        self._transport.sendto(
            build_message(EMPTY, mtype=mtype, mid=mid).encode(), remote
        )


async def open_endpoint(endpoint: Endpoint, local: Remote) -> Endpoint:
    """Bind `endpoint` to `local` (port 0 for any)."""
    loop = get_running_loop()
    await loop.create_datagram_endpoint(lambda: endpoint, local_addr=local)
    return endpoint
