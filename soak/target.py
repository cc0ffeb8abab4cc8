"""Simulated target of connections."""

from asyncio import AbstractEventLoop, get_running_loop
from dataclasses import dataclass, field
from random import Random
from socket import create_server

from lycheeglade.address import Address
from lycheeglade.segment import (
    SEQUENCE_SPACE,
    ConnectionKey,
    Segment,
    sequence_distance,
)
from soak.network import Network
from soak.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    decode_segment,
    mark_returned,
    pack_segment,
)
from soak.promises import PromiseChecker

ANSWER = b"answer"
# An acknowledgement further ahead of the sequence number at which this target
# began belongs to the connection of another target.
MAX_AHEAD = 76_800


@dataclass(slots=True)
class TargetConnection:
    """The state of a connection at its target.

    Attributes
    ----------
    sequence : int
        Initial sequence number of the target.
    answers_by_sequence : dict
        Answers by the sequence number of the request; None while the request
        is processed.
    """

    sequence: int
    is_open: bool = False
    sent: int = 0
    answers_by_sequence: dict[int, bytes | None] = field(default_factory=dict)


class Target:
    """A target that accepts connections and answers requests one at a time."""

    def __init__(
        self,
        target_id: str,
        service: str,
        zone: str,
        app: Address,
        outbound: Address,
        service_time_s: float,
        network: Network,
        promises: PromiseChecker,
        generator: Random,
        born: int,
        warmup_s: float = 0.0,
    ):
        self.target_id = target_id
        self.born = born
        self.service = service
        self.zone = zone
        self.ip = app.ip
        self.app = app
        self.is_alive = True
        self.leaving = False
        self._outbound = outbound
        self._service_time_s = service_time_s
        self._network = network
        self._promises = promises
        self._generator = generator
        self._connections_by_key: dict[ConnectionKey, TargetConnection] = {}
        self._loop: AbstractEventLoop = get_running_loop()
        self._busy_until = 0.0
        self._warm_at = self._loop.time() + warmup_s
        network.attach(app, self._receive)
        # Agents see by this port whether the target has ended.
        self._listener = create_server(tuple(app))

    @property
    def warmup_left_ms(self) -> int:
        """Time for which the target stays cold."""
        return max(0, round(1000.0 * (self._warm_at - self._loop.time())))

    def crash(self) -> None:
        """Discard all connections and ignore all further packets."""
        self.is_alive = False
        self.close()
        self._connections_by_key.clear()

    def close(self) -> None:
        """Close the port by which agents see that the target is there."""
        self._listener.close()

    def _receive(self, datagram: bytes, source: Address) -> None:
        if not self.is_alive:
            return
        segment = decode_segment(datagram)
        key = segment.key_from_caller
        self._promises.record_delivery(key, self, datagram)
        if segment.opens:
            self._open(key, datagram)
            return
        connection = self._connections_by_key.get(key)
        if connection is None or not self._is_acceptable(connection, segment):
            self._send(mark_returned(datagram))
            return
        if segment.resets:
            self._close(key)
            return
        if not connection.is_open:
            connection.is_open = True
            self._promises.record_opened(key, self)
        if segment.data_bytes:
            self._handle_request(key, connection, segment.sequence)
        elif segment.finishes:
            self._send_to_caller(
                key, pack_segment(FIN | ACK, key, 0, 0, from_target=True)
            )
            self._close(key)

    def _is_acceptable(self, connection: TargetConnection, segment: Segment) -> bool:
        if segment.resets:
            return True
        distance = sequence_distance(connection.sequence, segment.acknowledgement)
        return 0 < distance <= MAX_AHEAD

    def _open(self, key: ConnectionKey, datagram: bytes) -> None:
        connection = self._connections_by_key.get(key)
        if connection is None:
            self._promises.record_accepted(key, self, datagram)
            connection = TargetConnection(self._generator.randrange(SEQUENCE_SPACE))
            self._connections_by_key[key] = connection
        if not connection.is_open:
            opening = pack_segment(
                SYN | ACK, key, connection.sequence, 0, from_target=True
            )
            self._send_to_caller(key, opening)

    def _handle_request(
        self, key: ConnectionKey, connection: TargetConnection, sequence: int
    ) -> None:
        if sequence in connection.answers_by_sequence:
            answer = connection.answers_by_sequence[sequence]
            if answer is not None:
                self._send_to_caller(key, answer)
            return
        connection.answers_by_sequence[sequence] = None
        self._promises.record_run(key, sequence)
        self._busy_until = (
            max(self._busy_until, self._loop.time()) + self._service_time_s
        )
        self._loop.call_at(
            self._busy_until, self._finish_request, key, connection, sequence
        )

    def _finish_request(
        self, key: ConnectionKey, connection: TargetConnection, sequence: int
    ) -> None:
        if self._connections_by_key.get(key) is not connection:
            return
        position = connection.sequence + 1 + connection.sent
        connection.sent += len(ANSWER)
        answer = pack_segment(
            ACK, key, position, sequence + 1, ANSWER, from_target=True
        )
        connection.answers_by_sequence[sequence] = answer
        self._send_to_caller(key, answer)
        if self.leaving:
            # A draining target ends its connections gradually: it resets each
            # one after its next answer.
            self._send_to_caller(
                key, pack_segment(RST, key, position, 0, from_target=True)
            )
            self._close(key)

    def _close(self, key: ConnectionKey) -> None:
        del self._connections_by_key[key]
        self._promises.record_closed(key)

    def _send_to_caller(self, key: ConnectionKey, datagram: bytes) -> None:
        self._promises.record_answer(key, datagram)
        self._send(datagram)

    def _send(self, datagram: bytes) -> None:
        self._network.send(self.app, self._outbound, datagram)
