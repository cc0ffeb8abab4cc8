"""Datagrams between the processes of the system.

Each datagram is one MessagePack array, tagged by kind, behind one byte that
names the version of the format. ``msgspec`` does the coding; its structs stand
in for frozen data classes, since it decodes tagged unions only into structs.
"""

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.errors import PacketError
from lycheeglade.flow import FlowKey

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 65507
_VERSION_PREFIX = bytes([FORMAT_VERSION])


class Forward(Struct, frozen=True, array_like=True, tag="F"):
    """A caller's datagram on its way to the agent that holds its flow.

    Attributes
    ----------
    target_id : str
        Target that the receiver is asked to serve it at.
    candidates : tuple of str
        Permitted targets, best first, as the balancer ranked them.
    revision : int
        Revision of the view that ranked them.
    hops : int
        Agents that the datagram has passed.
    balancer_ip, balancer_port : str, int
        Where the answer is sent.
    """

    service: str
    target_id: str
    revision: int
    caller_ip: str
    caller_port: int
    candidates: tuple[str, ...]
    hops: int
    balancer_ip: str
    balancer_port: int
    payload: bytes


class Answer(Struct, frozen=True, array_like=True, tag="A"):
    """A datagram for a caller, on its way back through a balancer."""

    service: str
    target_id: str
    caller_ip: str
    caller_port: int
    payload: bytes


class Probe(Struct, frozen=True, array_like=True, tag="P"):
    """Asks an agent whether it knows the home of a flow."""

    service: str
    target_id: str
    caller_ip: str
    caller_port: int


class ProbeReply(Struct, frozen=True, array_like=True, tag="p"):
    """Tells the flow's home, or an empty string if it isn't known."""

    service: str
    target_id: str
    caller_ip: str
    caller_port: int
    home_target_id: str


class HomeNotice(Struct, frozen=True, array_like=True, tag="H"):
    """Tells a flow's new first candidate where the flow lives."""

    service: str
    target_id: str
    home_target_id: str
    callers: tuple[tuple[str, int], ...]


class Ping(Struct, frozen=True, array_like=True, tag="I"):
    """Asks a process for a sign of life."""

    nonce: int


class Pong(Struct, frozen=True, array_like=True, tag="i"):
    """Answers a ping."""

    nonce: int


class Delegate(Struct, frozen=True, array_like=True, tag="D"):
    """Asks a peer agent to run one request at once, or to give it back.

    Attributes
    ----------
    delegation_id : int
        Differs between two tries of the same request.
    incarnation : int
        The peer's incarnation as the home knows it; 0 if it doesn't.
    home_busy : float
        Share of the home's slots that was lately in use, 0 to 1.
    home_is_full : bool
        Whether the home has no free slot.
    """

    service: str
    target_id: str
    home_target_id: str
    delegation_id: int
    incarnation: int
    home_busy: float
    home_is_full: bool
    payload: bytes


class DelegateReply(Struct, frozen=True, array_like=True, tag="d"):
    """Returns the answer to a delegated request.

    Attributes
    ----------
    ran : bool
        False if the peer never handed the request to its upstream.
    payload : bytes
        Empty if the peer has no answer.
    busy : float
        Share of the peer's slots that was lately in use, 0 to 1.
    incarnation : int
        The peer's incarnation.
    """

    service: str
    target_id: str
    peer_target_id: str
    delegation_id: int
    ran: bool
    payload: bytes
    busy: float
    incarnation: int


class HandoffOffer(Struct, frozen=True, array_like=True, tag="O"):
    """Offers a flow to a successor, which registers its feeds.

    `registrations` holds the caller's request of each standing feed.
    """

    service: str
    target_id: str
    home_target_id: str
    caller_ip: str
    caller_port: int
    handoff_id: int
    registrations: tuple[bytes, ...]


class HandoffReady(Struct, frozen=True, array_like=True, tag="R"):
    """Tells that the successor's feeds are registered, or refuses."""

    service: str
    target_id: str
    handoff_id: int
    accepted: bool


class HandoffCommit(Struct, frozen=True, array_like=True, tag="C"):
    """Gives a flow and all its state to the successor.

    `state` is the MessagePack form of the flow's state.
    """

    service: str
    target_id: str
    home_target_id: str
    caller_ip: str
    caller_port: int
    handoff_id: int
    state: bytes


class HandoffDone(Struct, frozen=True, array_like=True, tag="c"):
    """Acknowledges a commit."""

    service: str
    target_id: str
    handoff_id: int


Packet = (
    Forward
    | Answer
    | Probe
    | ProbeReply
    | HomeNotice
    | Ping
    | Pong
    | Delegate
    | DelegateReply
    | HandoffOffer
    | HandoffReady
    | HandoffCommit
    | HandoffDone
)

PacketOfFlow = (
    Forward | Answer | Probe | ProbeReply | HomeNotice | HandoffOffer | HandoffCommit
)

_encoder = Encoder()
_decoder = Decoder(Packet)


def flow_of(packet: PacketOfFlow) -> FlowKey:
    """Return the flow that `packet` belongs to."""
    return FlowKey(packet.service, packet.caller_ip, packet.caller_port)


def encode_packet(packet: Packet) -> bytes:
    """Return the datagram for `packet`."""
    return _VERSION_PREFIX + _encoder.encode(packet)


def decode_packet(datagram: bytes) -> Packet:
    """Return the packet in `datagram`.

    Raises
    ------
    PacketError
        If the version is another one or the rest can't be decoded.
    """
    if not datagram:
        raise PacketError("empty")
    if datagram[0] != FORMAT_VERSION:
        raise PacketError("version")
    try:
        return _decoder.decode(memoryview(datagram)[1:])
    except (DecodeError, RecursionError) as error:
        raise PacketError("encoding") from error
