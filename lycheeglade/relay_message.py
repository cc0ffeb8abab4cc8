"""Messages between balancers and agents that carry connections."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.address import Address
from lycheeglade.errors import PacketError
from lycheeglade.segment import ConnectionKey


class Carry(Struct, frozen=True, array_like=True, tag=1):
    """A caller's segment on its way to an agent.

    Attributes
    ----------
    balancer : Address
        Who is told where the connection lives.
    search : bool
        The balancer doesn't know where the connection lives.
    is_relayed : bool
        The sender is an agent that asks for the balancer, and collects what
        agents answer that don't know the connection either.
    service : str
        Service that a new connection is for.
    candidates : tuple of Address
        Agents that may take a new connection if this one can't, or that it
        has to ask for an unknown one.
    costs : tuple of float
        Seconds in which they are expected to answer a first request.
    """

    balancer: Address
    datagram: bytes
    search: bool = False
    service: str = ""
    candidates: tuple[Address, ...] = ()
    costs: tuple[float, ...] = ()
    is_relayed: bool = False


class Found(Struct, frozen=True, array_like=True, tag=2):
    """A connection lives at the sender, or may open there.

    Attributes
    ----------
    sequence : int
        Position at which the target's side of it began, or -1 where the agent
        has not seen it begin.
    is_open : bool
        The target has shown that it holds the connection.
    """

    key: ConnectionKey
    sequence: int
    is_open: bool = True


class NotHere(Struct, frozen=True, array_like=True, tag=3):
    """The sender's target holds no such connection."""

    key: ConnectionKey
    acknowledgement: int


class Hello(Struct, frozen=True, array_like=True, tag=4):
    """A balancer asks for load reports, and tells of the target's slots."""

    slots: int


class LoadReport(Struct, frozen=True, array_like=True, tag=5):
    """Load of one target.

    Attributes
    ----------
    incarnation : int
        Random number of the agent's process.
    service : str
        What the agent's target serves.
    running : int
        Requests at the target.
    service_time : float
        Seconds that a request takes at the target.
    busy : float
        Share of the slots' time that was lately spent on requests, 0 to 1.
    connections : int
        Connections that are open.
    silent : bool
        The target answers nothing.
    leaving : bool
        The agent's process is about to end.
    failing : float
        Share of the latest requests that the target failed, 0 to 1.
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


class Peers(Struct, frozen=True, array_like=True, tag=6):
    """A balancer's revision of the view, and the balancers that it knows.

    Attributes
    ----------
    age : float
        Seconds since the sender's process has started.
    """

    revision: int
    addresses: tuple[Address, ...]
    age: float = 0.0


class NotThere(Struct, frozen=True, array_like=True, tag=7):
    """Some agents' targets hold no such connection."""

    key: ConnectionKey
    agents: tuple[Address, ...]


Message = Carry | Found | NotHere | Hello | LoadReport | Peers | NotThere

_encoder = Encoder()
_decoder = Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the datagram that `decode_message` reads as `message`."""
    return _encoder.encode(message)


def decode_message(datagram: bytes) -> Message:
    """Read a datagram of a process of the system.

    Raises
    ------
    PacketError
        If it is no message.
    """
    try:
        return _decoder.decode(datagram)
    except (DecodeError, ValidationError) as error:
        raise PacketError("relay-message") from error
