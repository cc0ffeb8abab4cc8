"""Non-blocking UDP sockets that are read in batches."""

from asyncio import AbstractEventLoop
from collections.abc import Callable
from socket import AF_INET, AF_INET6, SO_RCVBUF, SO_SNDBUF, SOCK_DGRAM, SOL_SOCKET
from socket import socket as Socket  # noqa: N812

from lycheeglade.address import Address

MAX_DATAGRAM_BYTES = 65535
BATCH_PACKETS = 128
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024

Receiver = Callable[[bytes, tuple], None]
Counter = Callable[[str], None]


class DatagramSocket:
    """Bound or connected UDP socket on an event loop.

    Parameters
    ----------
    on_datagram : callable
        Called with each received datagram and its source address.
    on_batch : callable
        Called after each batch with the number of datagrams, and whether no
        more were waiting.
    on_refused : callable
        Called if the peer of a connected socket reports a closed port.
    max_bytes : int
        Size at which datagrams are cut off. A buffer of this size is allocated
        for each one, so that kept datagrams lie this far apart in memory
        unless the space between them is used for smaller objects.
    """

    __slots__ = (
        "_loop",
        "_max_bytes",
        "_on_batch",
        "_on_datagram",
        "_on_refused",
        "_socket",
        "dropped",
    )

    def __init__(
        self,
        loop: AbstractEventLoop,
        on_datagram: Receiver,
        *,
        local: Address | None = None,
        remote: Address | None = None,
        on_refused: Callable[[], None] | None = None,
        on_batch: Callable[[int, bool], None] | None = None,
        buffer_bytes: int = SOCKET_BUFFER_BYTES,
        max_bytes: int = MAX_DATAGRAM_BYTES,
    ):
        ip = (local or remote).ip
        family = AF_INET6 if ":" in ip else AF_INET
        self._loop = loop
        self._on_datagram = on_datagram
        self._on_refused = on_refused
        self._on_batch = on_batch
        self._max_bytes = max_bytes
        self._socket = Socket(family, SOCK_DGRAM)
        self.dropped = 0
        try:
            self._socket.setblocking(False)
            self._socket.setsockopt(SOL_SOCKET, SO_RCVBUF, buffer_bytes)
            self._socket.setsockopt(SOL_SOCKET, SO_SNDBUF, buffer_bytes)
            if local is not None:
                self._socket.bind(tuple(local))
            if remote is not None:
                self._socket.connect(tuple(remote))
        except OSError as error:
            self._socket.close()
            reason = f"{local or remote}: {error.strerror}"
            raise OSError(error.errno, reason) from error
        loop.add_reader(self._socket.fileno(), self._read_batch)

    @property
    def address(self) -> Address:
        """Local address to which the socket is bound."""
        return Address(*self._socket.getsockname()[:2])

    def send(self, datagram: bytes, address: tuple | None = None) -> None:
        """Send a datagram, or drop and count it.

        It is dropped if the send buffer is full or the address is invalid.
        """
        try:
            if address is None:
                self._socket.send(datagram)
            else:
                self._socket.sendto(datagram, address)
        except ConnectionRefusedError:
            if self._on_refused is not None:
                self._on_refused()
        except (OSError, OverflowError, TypeError, ValueError):
            self.dropped += 1

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def _read_batch(self) -> None:
        read = self._read_datagrams()
        if self._on_batch is not None:
            self._on_batch(read, read < BATCH_PACKETS)

    def _read_datagrams(self) -> int:
        """Read up to `BATCH_PACKETS` datagrams; return how many were read."""
        receive, max_bytes = self._socket.recvfrom, self._max_bytes
        for read in range(BATCH_PACKETS):
            try:
                datagram, source = receive(max_bytes)
            except (BlockingIOError, InterruptedError):
                return read
            except ConnectionRefusedError:
                if self._on_refused is not None:
                    self._on_refused()
                return read
            except OSError:
                return read
            self._on_datagram(datagram, source)
            if self._socket.fileno() < 0:
                return read
        return BATCH_PACKETS
