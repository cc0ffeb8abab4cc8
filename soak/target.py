"""Simulated target of connections."""

from asyncio import AbstractEventLoop, get_running_loop
from dataclasses import dataclass, field
from random import Random

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
    bounce,
    decode_segment,
    pack_segment,
)
from soak.promises import Promises

ANSWER = b"answer"
# An acknowledgement further ahead of the sequence number at which this target
# began belongs to the connection of another target.
MAX_AHEAD = 76_800


@dataclass(slots=True)
class Half:
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
        app: Address,
        outbound: Address,
        work_s: float,
        network: Network,
        promises: Promises,
        generator: Random,
    ):
        self.target_id = target_id
        self.service = service
        self.ip = app.ip
        self.app = app
        self.is_alive = True
        self.leaving = False
        self._outbound = outbound
        self._work_s = work_s
        self._network = network
        self._promises = promises
        self._generator = generator
        self._halves_by_key: dict[ConnectionKey, Half] = {}
        self._loop: AbstractEventLoop = get_running_loop()
        self._free_at = 0.0
        network.attach(app, self._receive)

    def crash(self) -> None:
        """Discard all connections and ignore all further packets."""
        self.is_alive = False
        self._halves_by_key.clear()

    def _receive(self, datagram: bytes, source: Address) -> None:
        if not self.is_alive:
            return
        segment = decode_segment(datagram)
        key = segment.key_from_caller
        self._promises.note_reached(key, self, datagram)
        if segment.opens:
            self._open(key)
            return
        half = self._halves_by_key.get(key)
        if half is None or not self._is_own(half, segment):
            self._send(bounce(datagram))
            return
        if segment.resets:
            self._close(key)
            return
        if not half.is_open:
            half.is_open = True
            self._promises.note_opened(key, self)
        if segment.data_bytes:
            self._take_request(key, half, segment.sequence)
        elif segment.finishes:
            self._answer(key, pack_segment(FIN | ACK, key, 0, 0, from_target=True))
            self._close(key)

    def _is_own(self, half: Half, segment: Segment) -> bool:
        if segment.resets:
            return True
        ahead = sequence_distance(half.sequence, segment.acknowledgement)
        return 0 < ahead <= MAX_AHEAD

    def _open(self, key: ConnectionKey) -> None:
        half = self._halves_by_key.get(key)
        if half is None:
            self._promises.note_accepted(key, self)
            half = Half(self._generator.randrange(SEQUENCE_SPACE))
            self._halves_by_key[key] = half
        if not half.is_open:
            opening = pack_segment(SYN | ACK, key, half.sequence, 0, from_target=True)
            self._answer(key, opening)

    def _take_request(self, key: ConnectionKey, half: Half, sequence: int) -> None:
        if sequence in half.answers_by_sequence:
            answer = half.answers_by_sequence[sequence]
            if answer is not None:
                self._answer(key, answer)
            return
        half.answers_by_sequence[sequence] = None
        self._promises.note_run(key, sequence)
        self._free_at = max(self._free_at, self._loop.time()) + self._work_s
        self._loop.call_at(self._free_at, self._finish, key, half, sequence)

    def _finish(self, key: ConnectionKey, half: Half, sequence: int) -> None:
        if self._halves_by_key.get(key) is not half:
            return
        position = half.sequence + 1 + half.sent
        half.sent += len(ANSWER)
        answer = pack_segment(
            ACK, key, position, sequence + 1, ANSWER, from_target=True
        )
        half.answers_by_sequence[sequence] = answer
        self._answer(key, answer)
        if self.leaving:
            # A draining target ends its connections gradually: it resets each
            # one after its next answer.
            self._answer(key, pack_segment(RST, key, position, 0, from_target=True))
            self._close(key)

    def _close(self, key: ConnectionKey) -> None:
        del self._halves_by_key[key]
        self._promises.note_closed(key)

    def _answer(self, key: ConnectionKey, datagram: bytes) -> None:
        self._promises.note_answer(key, datagram)
        self._send(datagram)

    def _send(self, datagram: bytes) -> None:
        self._network.send(self.app, self._outbound, datagram)
