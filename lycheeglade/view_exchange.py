"""Lets balancers fetch the view from each other while the platform is down."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    open_connection,
    sleep,
    start_server,
    timeout,
)
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from msgspec import DecodeError, ValidationError
from msgspec.msgpack import decode, encode

from lycheeglade.address import Address
from lycheeglade.relay_message import Message, Peers
from lycheeglade.route import RoutingView

MAX_PEERS = 64
PEER_TIMEOUT_S = 5.0
GOSSIP_PEERS = 2
GOSSIP_PERIOD_S = 0.5
# Shorter period of a process that has no view yet.
START_PERIOD_S = 0.1
# Delay before a newer view is fetched from a peer, so that the platform's own
# update normally arrives first.
FETCH_DELAY_S = 0.15
FETCH_TIMEOUT_S = 0.6
MAX_VIEW_BYTES = 8 << 20


@dataclass(slots=True)
class Peer:
    """State of another balancer."""

    heard_at: float
    revision: int
    ahead_since: float


class ViewExchange:
    """Balancers that this one knows, and the revisions of their views."""

    def __init__(self, address: Address, generator: Random):
        self._address = address
        self._generator = generator
        self._peers_by_address: dict[Address, Peer] = {}
        self._reported_at_by_address: dict[Address, float] = {}

    def receive_peers(self, message: Peers, source: Address, now: float) -> None:
        """Update the known balancers from a message of `source`."""
        peer = self._peers_by_address.get(source)
        if peer is None:
            self._peers_by_address[source] = Peer(now, message.revision, now)
        else:
            peer.heard_at = now
            if message.revision > peer.revision:
                peer.revision = message.revision
                peer.ahead_since = now
        for address in message.addresses:
            if address != self._address:
                self._reported_at_by_address[address] = now

    def announce(self, revision: int, send: Callable[[Address, Message], None]) -> None:
        """Announce a newer view to all peers."""
        message = Peers(revision, ())
        for address in self._peers_by_address:
            send(address, message)

    def gossip(
        self,
        seeds: tuple[Address, ...],
        revision: int,
        send: Callable[[Address, Message], None],
        now: float,
    ) -> None:
        """Send the revision and the list of peers to a few balancers."""
        for address, peer in list(self._peers_by_address.items()):
            if now - peer.heard_at > PEER_TIMEOUT_S:
                del self._peers_by_address[address]
        known = {*self._peers_by_address, *seeds}
        known |= {
            a
            for a, at in self._reported_at_by_address.items()
            if now - at < PEER_TIMEOUT_S
        }
        known.discard(self._address)
        self._reported_at_by_address = {
            a: at
            for a, at in self._reported_at_by_address.items()
            if now - at < PEER_TIMEOUT_S
        }
        active = tuple(sorted(self._peers_by_address)[:MAX_PEERS])
        chosen = self._generator.sample(sorted(known), min(GOSSIP_PEERS, len(known)))
        for address in chosen:
            send(address, Peers(revision, active))

    def choose_source(self, revision: int, now: float) -> Address | None:
        """Return a random balancer with a newer view than `revision`.

        Only balancers that have been ahead for `FETCH_DELAY_S` seconds count.
        """
        ahead = [
            address
            for address, peer in self._peers_by_address.items()
            if peer.revision > revision and now - peer.ahead_since >= FETCH_DELAY_S
        ]
        return self._generator.choice(ahead) if ahead else None

    def choose_seed(self, seeds: tuple[Address, ...]) -> Address | None:
        """Return a random seed other than this balancer."""
        others = [address for address in seeds if address != self._address]
        return self._generator.choice(others) if others else None

    def draw_interval(self, configuration: int) -> float:
        """Return the seconds until the next exchange, with jitter."""
        base = GOSSIP_PERIOD_S if configuration else START_PERIOD_S
        return base * self._generator.uniform(0.8, 1.2)


async def serve_view(address: Address, get_view: Callable[[], RoutingView]) -> Server:
    """Start a server that sends the whole view on each connection."""

    async def send_view(reader: StreamReader, writer: StreamWriter) -> None:
        try:
            writer.write(encode(get_view()))
            async with timeout(FETCH_TIMEOUT_S):
                await writer.drain()
        except (OSError, TimeoutError):
            # The peer retries with another balancer.
            pass
        finally:
            writer.close()

    return await start_server(send_view, address.ip, address.port)


async def fetch_view(address: Address, log: Callable[..., None]) -> RoutingView | None:
    """Return the view of the balancer at `address`.

    Returns
    -------
    RoutingView or None
        None if the fetch fails or the balancer has no view yet.
    """
    try:
        async with timeout(FETCH_TIMEOUT_S):
            view = await _fetch(address)
            # Decoding a large view takes long: other tasks run first, and a
            # cancellation that arrived meanwhile takes effect.
            await sleep(0)
    except (OSError, TimeoutError, DecodeError, ValidationError) as error:
        log("view-not-fetched", peer=address, reason=repr(error))
        return None
    return view if view.configuration else None


async def _fetch(address: Address) -> RoutingView:
    reader, writer = await open_connection(address.ip, address.port)
    try:
        chunks = []
        while chunk := await reader.read(MAX_VIEW_BYTES):
            chunks.append(chunk)
        return decode(b"".join(chunks), type=RoutingView)
    finally:
        writer.close()
