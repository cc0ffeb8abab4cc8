"""Packets between the processes of the system and their wire format.

Each datagram is one byte with the format version, followed by one MessagePack
array that is tagged with the kind of packet. The packets are ``msgspec``
structs instead of frozen data classes, since ``msgspec`` decodes tagged unions
only into structs.
"""

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.errors import DECODE_ERRORS, PacketError
from lycheeglade.flow import FlowKey

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 65507
_VERSION_PREFIX = bytes([FORMAT_VERSION])


class Forward(Struct, frozen=True, array_like=True, tag="F"):
    """Forwards a caller's datagram to the agent that holds its flow.

    Attributes
    ----------
    target_id : str
        Target of the receiver that is asked to serve the datagram.
    revision : int
        Revision of the service by which the candidates were ranked.
    candidates : tuple of str
        Permitted targets, best first, as the balancer ranked them.
    hops : int
        Number of agents that have forwarded the datagram.
    balancer_ip, balancer_port : str, int
        Address of the balancer that forwards the answer.
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
    """Forwards a datagram to a caller through a balancer."""

    service: str
    target_id: str
    caller_ip: str
    caller_port: int
    payload: bytes


class Probe(Struct, frozen=True, array_like=True, tag="P"):
    """Asks an agent for the home of a flow."""

    service: str
    target_id: str
    caller_ip: str
    caller_port: int


class FormerTarget(Struct, frozen=True, array_like=True):
    """A recently removed target, which may still be the home of flows."""

    target_id: str
    agent_ip: str
    agent_port: int


class ProbeReply(Struct, frozen=True, array_like=True, tag="p"):
    """Answers a probe with the flow's home, or an empty string if unknown.

    Attributes
    ----------
    former_targets : tuple of FormerTarget
        Latest targets removed from the sender's view. The receiver may have
        started after their removal.
    """

    service: str
    target_id: str
    caller_ip: str
    caller_port: int
    home_target_id: str
    former_targets: tuple[FormerTarget, ...] = ()


class HomeNotice(Struct, frozen=True, array_like=True, tag="H"):
    """Notifies a candidate of flows about their home."""

    service: str
    target_id: str
    home_target_id: str
    callers: tuple[tuple[str, int], ...]


class Ping(Struct, frozen=True, array_like=True, tag="I"):
    """Asks a process for a reply that shows it to be up."""

    nonce: int


class Pong(Struct, frozen=True, array_like=True, tag="i"):
    """Answers a ping."""

    nonce: int


class Delegate(Struct, frozen=True, array_like=True, tag="D"):
    """Asks a peer agent to run one request at once or to return it.

    Attributes
    ----------
    delegation_id : int
        Identifies one attempt to delegate a request; another attempt with the
        same request has another ID.
    incarnation : int
        Incarnation of the peer as far as the home knows it, else 0.
    home_busy : float
        Share of the home's slots that was recently in use, 0 to 1.
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
    """Returns a delegated request, with its answer if there is one.

    Attributes
    ----------
    ran : bool
        Whether the request may have run at the peer's upstream.
    payload : bytes
        Upstream's response, or empty if the peer has none.
    busy : float
        Share of the peer's slots that was recently in use, 0 to 1.
    incarnation : int
        Incarnation of the peer.
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
    """Offers a flow to a successor, which then registers the flow's feeds.

    Attributes
    ----------
    registrations : tuple of bytes
        The caller's request of each feed.
    """

    service: str
    target_id: str
    home_target_id: str
    caller_ip: str
    caller_port: int
    handoff_id: int
    registrations: tuple[bytes, ...]


class HandoffReady(Struct, frozen=True, array_like=True, tag="R"):
    """Accepts an offer after the feeds were registered, or refuses it."""

    service: str
    target_id: str
    handoff_id: int
    accepted: bool


class HandoffCommit(Struct, frozen=True, array_like=True, tag="C"):
    """Transfers a flow and its state to the successor.

    Attributes
    ----------
    state : bytes
        MessagePack form of a `lycheeglade.flow_state.FlowState`.
    """

    service: str
    target_id: str
    home_target_id: str
    caller_ip: str
    caller_port: int
    handoff_id: int
    state: bytes


class HandoffDone(Struct, frozen=True, array_like=True, tag="c"):
    """Acknowledges a handoff commit."""

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
    """Return the datagram that encodes `packet`."""
    return _VERSION_PREFIX + _encoder.encode(packet)


def decode_packet(datagram: bytes) -> Packet:
    """Return the packet that `datagram` encodes.

    Raises
    ------
    PacketError
        If the datagram is empty, has another format version than
        `FORMAT_VERSION` or can't be decoded.
    """
    if not datagram:
        raise PacketError("empty")
    if datagram[0] != FORMAT_VERSION:
        raise PacketError("version")
    try:
        return _decoder.decode(memoryview(datagram)[1:])
    except DECODE_ERRORS as error:
        raise PacketError("encoding") from error
