"""Messages between the balancers and agents that handle connections."""

from enum import StrEnum
from typing import Annotated

from msgspec import Meta, Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.address import Address
from lycheeglade.errors import DECODE_ERRORS, PacketError
from lycheeglade.segment import SEQUENCE_SPACE, ConnectionKey
from lycheeglade.store_revision import Versioned

# Also excludes infinity and NaN, which have no integer value.
MAX_AIM_S = 1e6
AimSeconds = Annotated[float, Meta(ge=-MAX_AIM_S, le=MAX_AIM_S)]
# No process has a negative number.
OTHER_PROCESS = -1
SequenceNumber = Annotated[int, Meta(ge=0, lt=SEQUENCE_SPACE)]


class Duty(StrEnum):
    """What a balancer does to learn of changes of the view.

    A watcher holds a watch at the store. A trying balancer would, but the
    store has not answered it yet. A follower learns of changes from watchers.
    """

    WATCHER = "watcher"
    TRYING = "trying"
    FOLLOWER = "follower"


class ForwardSegment(Struct, frozen=True, array_like=True, tag=1):
    """A caller's segment, forwarded to an agent.

    Attributes
    ----------
    balancer : Address
        Balancer that is notified of the connection's home.
    search : bool
        Whether the balancer does not know the connection's home.
    is_relayed : bool
        Whether the sender is an agent that searches for the balancer, and
        collects the negative answers of other agents.
    service : str
        Service of a new connection.
    candidates : tuple of Address
        Agents that may accept a new connection if the receiver cannot, or
        that the receiver has to ask for an unknown connection.
    costs : tuple of float
        Expected seconds until each candidate answers a first request.
    services : tuple of str
        Services whose targets may receive the segment of a search, empty for
        any.
    priority : int
        Priority of a new connection's requests; 0 is the highest.
    aim_left : float
        Seconds left in which a first answer has its full worth, 0 if both
        times are unknown.
    time_left : float
        Seconds left until the caller gives up, 0 if both times are unknown.
    held : float
        Seconds for which other agents have held a new connection.
    any_service : bool
        Whether targets of other services than `services` may receive the
        segment too, since no target of these holds the connection.
    """

    balancer: Address
    datagram: bytes
    search: bool = False
    service: str = ""
    candidates: tuple[Address, ...] = ()
    costs: tuple[float, ...] = ()
    is_relayed: bool = False
    services: tuple[str, ...] = ()
    priority: int = 0
    aim_left: AimSeconds = 0.0
    time_left: float = 0.0
    held: float = 0.0
    any_service: bool = False


class HomeFound(Struct, frozen=True, array_like=True, tag=2):
    """The sender is the home of a connection, or may become it.

    Attributes
    ----------
    sequence : int
        Initial sequence number of the target, or -1 if the agent has not
        seen it.
    is_open : bool
        Whether a segment of the target has shown that it holds the
        connection.
    """

    key: ConnectionKey
    sequence: int
    is_open: bool = True


class ConnectionNotHeld(Struct, frozen=True, array_like=True, tag=3):
    """The sender's target does not hold the connection."""

    key: ConnectionKey
    acknowledgement: SequenceNumber


class LoadRequest(Struct, frozen=True, array_like=True, tag=4):
    """A balancer requests load reports.

    Attributes
    ----------
    slots : int
        Slots of the target.
    is_near : bool
        Whether the balancer is in the target's zone.
    warmup_left : float
        Seconds for which the target stays slow.
    warmup_rate : float
        New connections per second that it can handle meanwhile, 0 if no limit
        is published.
    lifetime : int
        Start of the target's process in Unix milliseconds, 0 if unknown.
    incarnation : int
        Not used by this build. Agents of an earlier one deny connections from
        incomplete tables unless it names a process other than theirs.
    """

    slots: int
    is_near: bool = True
    warmup_left: float = 0.0
    warmup_rate: float = 0.0
    lifetime: int = 0
    incarnation: int = OTHER_PROCESS


class LoadReport(Struct, frozen=True, array_like=True, tag=5):
    """Load of one target.

    Attributes
    ----------
    incarnation : int
        Random number that identifies the agent's process.
    service : str
        Service of the agent's target.
    running : int
        Number of requests at the target.
    service_time : float
        Mean seconds that a request takes at the target, 0 if none was
        measured yet.
    busy : float
        Share of the slots' recent time spent on requests, 0 to 1.
    connections : int
        Number of connections that the agent knows.
    silent : bool
        Whether the target has stopped answering.
    leaving : bool
        Whether the agent's process is about to exit.
    failing : float
        Share of the recent requests that the target failed, 0 to 1.
    target_ended : bool
        Whether the target's process has ended. If the agent also exits, it
        does not return.
    age : float
        Seconds since the agent's process started, -1 if not reported.
    is_target_older : bool
        Whether the target has outlived an earlier process of the agent.
    """

    incarnation: int
    service: str
    running: int
    service_time: float
    busy: float
    connections: int
    silent: bool = False
    leaving: bool = False
    failing: float = 0.0
    target_ended: bool = False
    age: float = -1.0
    is_target_older: bool = False


class Peers(Versioned, Struct, frozen=True, array_like=True, tag=6):
    """The version of a balancer's view, and the balancers that it knows.

    Attributes
    ----------
    revision : int
        Revision of the sender's view, within `era`.
    addresses : tuple of Address
        A few random balancers that the sender knows.
    era : int
        Era of the store, 0 if unknown.
    configuration : int
        Version of the routes in the sender's view, 0 if unknown.
    """

    revision: int
    addresses: tuple[Address, ...]
    era: int = 0
    configuration: int = 0


class ConnectionNotHeldBy(Struct, frozen=True, array_like=True, tag=7):
    """The targets of the given agents do not hold the connection."""

    key: ConnectionKey
    agents: tuple[Address, ...]


class ViewStatus(Versioned, Struct, frozen=True, array_like=True, tag=8):
    """What a balancer's view is based on.

    Attributes
    ----------
    zone : str
        Zone of the sender.
    revision : int
        Revision of the latest change in the sender's view, within `era`.
    checked : int
        Revision of the store up to which the view lacks no change, within
        `era`.
    duty : Duty
        Whether the sender reads the store.
    neighbours : tuple of Address
        Other balancers of the receiver's zone, if the receiver is new to the
        sender.
    era : int
        Era of the store, 0 if unknown.
    configuration : int
        Version of the routes in the sender's view, 0 if unknown.
    age : float
        Seconds since the sender's process started, -1 if not reported.
    """

    zone: str
    revision: int
    checked: int
    duty: Duty
    neighbours: tuple[Address, ...] = ()
    era: int = 0
    configuration: int = 0
    age: float = -1.0


class OpeningHeld(Struct, frozen=True, array_like=True, tag=9):
    """The sender's target has no free slot; the new connection waits there."""

    key: ConnectionKey


class OpeningRefused(Struct, frozen=True, array_like=True, tag=10):
    """A new connection that waited at the sender gets no turn there."""

    key: ConnectionKey


Message = (
    ForwardSegment
    | HomeFound
    | ConnectionNotHeld
    | LoadRequest
    | LoadReport
    | Peers
    | ConnectionNotHeldBy
    | ViewStatus
    | OpeningHeld
    | OpeningRefused
)

_encoder = Encoder()
_decoder = Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return `message` encoded as a datagram."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Decode a datagram of a balancer or an agent.

    Raises
    ------
    PacketError
        If the datagram is not a valid message.
    """
    try:
        return _decoder.decode(datagram)
    except DECODE_ERRORS as error:
        raise PacketError("relay-message") from error
