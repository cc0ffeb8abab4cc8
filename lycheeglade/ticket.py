"""Tickets that let a request run at most once.

A ticket names the book that minted it and a counter, under a MAC. A request
runs only against an unused ticket that this book has on record, so a ticket
without a record never runs here. What the book still has to know about such a
ticket is whether it was ever used: one bit for each ticket says so.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from hmac import compare_digest

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder
from xxhash import xxh32_digest

from lycheeglade.errors import TicketError
from lycheeglade.flow import FlowKey

TICKET_FORMAT = 1
BOOK_ID_BYTES = 8
COUNTER_BYTES = 8
CHECKSUM_BYTES = 4
MAC_BYTES = 16
TICKET_BYTES = 1 + BOOK_ID_BYTES + COUNTER_BYTES + CHECKSUM_BYTES + MAC_BYTES
MAX_OUTCOME_BYTES = 1280
MAX_UNUSED_PER_FLOW = 16
UNUSED_LIFETIME_S = 24 * 3600.0
EPOCH_LIFETIME_S = 24 * 3600.0
BITS_PER_PAGE = 1024
MAX_PAGES = 4096

_NAME_END = 1 + BOOK_ID_BYTES + COUNTER_BYTES
_MAC_START = _NAME_END + CHECKSUM_BYTES


class Judgement(Enum):
    """What may be done with a request that isn't repeatable."""

    CHALLENGE = "challenge"
    RUN = "run"
    RUNNING = "running"
    REPLAY = "replay"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Judgement of one request, with the remembered outcome of a replay."""

    judgement: Judgement
    outcome: bytes = b""


_CHALLENGE = Verdict(Judgement.CHALLENGE)
_RUN = Verdict(Judgement.RUN)
_RUNNING = Verdict(Judgement.RUNNING)
_UNKNOWN = Verdict(Judgement.UNKNOWN)


class _Record:
    """A ticket on record: unused while `digest` is None."""

    __slots__ = ("digest", "flow", "outcome", "running", "since", "ticket")

    def __init__(self, ticket: bytes, flow: FlowKey, since: float):
        self.ticket = ticket
        self.flow = flow
        self.since = since
        self.digest: bytes | None = None
        self.running = False
        self.outcome: bytes | None = None


class _FlowTickets:
    """Records of one flow, by the ticket's name."""

    __slots__ = ("unused_by_name", "used_by_name")

    def __init__(self):
        self.unused_by_name: dict[bytes, _Record] = {}
        self.used_by_name: dict[bytes, _Record] = {}


class _UsedTicket(Struct, frozen=True, array_like=True):
    ticket: bytes
    digest: bytes
    outcome: bytes | None


class _FlowState(Struct, frozen=True, array_like=True):
    epoch: int
    unused: tuple[bytes, ...]
    used: tuple[_UsedTicket, ...]


_encoder = Encoder()
_decoder = Decoder(_FlowState)


class _UsedCounters:
    """One bit for each counter that was used, bounded to the latest pages."""

    def __init__(self):
        self._bits_by_page: dict[int, int] = {}
        self._first_known = 0

    def add(self, counter: int) -> None:
        if counter < self._first_known:
            return
        page, bit = divmod(counter, BITS_PER_PAGE)
        self._bits_by_page[page] = self._bits_by_page.get(page, 0) | 1 << bit
        if len(self._bits_by_page) > MAX_PAGES:
            oldest = min(self._bits_by_page)
            del self._bits_by_page[oldest]
            self._first_known = (oldest + 1) * BITS_PER_PAGE

    def __contains__(self, counter: int) -> bool:
        if counter < self._first_known:
            return True
        page, bit = divmod(counter, BITS_PER_PAGE)
        return bool(self._bits_by_page.get(page, 0) >> bit & 1)


class TicketBook:
    """Tickets of one target, minted and judged by one agent process.

    The book holds at most `max_outcomes` records. At the bound the oldest
    unused ticket is dropped; a request that brings it is challenged again. If
    all records are used, nothing is minted until the first one expires: an
    outcome is never forgotten early.

    Parameters
    ----------
    key : bytes
        Secret of this process, up to 64 bytes.
    minter : str
        Identity of the target and its agent.
    incarnation : int
        Random 64-bit number drawn at each start of the process.
    max_outcomes : int
        Bound of the records.
    lifetime : float
        Seconds for which an outcome is remembered after its request began.
        Must exceed the longest time that a request may take.
    """

    def __init__(
        self,
        key: bytes,
        minter: str,
        incarnation: int,
        max_outcomes: int = 10_000,
        lifetime: float = 300.0,
    ):
        self._key = key
        self._book_id = blake2b(
            minter.encode(),
            digest_size=BOOK_ID_BYTES,
            salt=incarnation.to_bytes(8, "big"),
        ).digest()
        self._max_outcomes = max_outcomes
        self._lifetime = lifetime
        self._next_counter = 0
        self._unused_by_name: dict[bytes, _Record] = {}
        self._used_by_name: dict[bytes, _Record] = {}
        self._tickets_by_flow: dict[FlowKey, _FlowTickets] = {}
        self._used_counters = _UsedCounters()
        self._epochs_by_flow: dict[FlowKey, tuple[int, float]] = {}

    def __len__(self):
        return len(self._unused_by_name) + len(self._used_by_name)

    def mint(self, flow: FlowKey, now: float) -> bytes | None:
        """Return a new ticket for `flow`.

        Returns
        -------
        bytes or None
            None if the memory of outcomes is full. A request without a ticket
            is then refused as not run.
        """
        self.collect(now)
        if not self._make_room():
            return None
        ticket = self._sign(self._next_counter)
        self._next_counter += 1
        self._add_unused(_Record(ticket, flow, now))
        return ticket

    def judge(
        self, ticket: bytes | None, flow: FlowKey, digest: bytes, now: float
    ) -> Verdict:
        """Tell what to do with a request that brings `ticket`.

        Parameters
        ----------
        digest : bytes
            Hash of what makes the request itself: method, path and payload,
            but not what changes when it is sent again.
        """
        self.collect(now)
        if ticket is None or not _is_well_formed(ticket):
            return _CHALLENGE
        name = ticket[1:_NAME_END]
        record = self._find(name)
        if record is None:
            return self._judge_without_record(ticket, name)
        if not compare_digest(record.ticket, ticket):
            return _CHALLENGE
        return self._judge_record(name, record, flow, digest)

    def begin(self, ticket: bytes, digest: bytes, now: float) -> None:
        """Mark `ticket` as used, before its request is handed on.

        Raises
        ------
        TicketError
            If the ticket isn't on record as unused.
        """
        name = ticket[1:_NAME_END]
        record = self._unused_by_name.get(name)
        if record is None:
            raise TicketError("the ticket is not on record as unused")
        self._remove(name, record)
        record.digest = digest
        record.running = True
        record.since = now
        self._add_used(name, record)

    def finish(self, ticket: bytes, outcome: bytes, now: float) -> None:
        """Remember the final answer to the request that used `ticket`.

        A refusal is an outcome too: a request that was refused as not run
        must get the same refusal if a late duplicate of it arrives. An outcome
        over ``MAX_OUTCOME_BYTES`` isn't kept, and neither is one whose flow
        has moved; repeats are then told that it is unknown.
        """
        record = self._used_by_name.get(ticket[1:_NAME_END])
        if record is None or not record.running:
            return
        record.running = False
        if len(outcome) <= MAX_OUTCOME_BYTES:
            record.outcome = outcome

    def forget_flow(self, flow: FlowKey) -> None:
        """Drop the unused tickets of a flow that has ended."""
        tickets = self._tickets_by_flow.get(flow)
        if tickets is None:
            return
        for name, record in list(tickets.unused_by_name.items()):
            self._remove(name, record)

    def export_flow(self, flow: FlowKey, now: float) -> bytes:
        """Give up a flow's tickets and return them for its successor.

        From here on this book says that the outcome is unknown to any request
        that brings one of them. A request that is still running is exported as
        used without an outcome.
        """
        self.collect(now)
        tickets = self._tickets_by_flow.get(flow) or _FlowTickets()
        epoch = self._epoch_of(flow) + 1
        unused = tuple(record.ticket for record in tickets.unused_by_name.values())
        used = tuple(
            _UsedTicket(record.ticket, record.digest, record.outcome)
            for record in tickets.used_by_name.values()
        )
        for name, record in _all_records(tickets):
            self._remove(name, record)
            self._note_used(name)
        if self._has_room_for_epoch(flow):
            self._note_epoch(flow, epoch, now)
        return _encoder.encode(_FlowState(epoch, unused, used))

    def import_flow(self, flow: FlowKey, state: bytes, now: float) -> bool:
        """Take over the tickets that another book exported for `flow`.

        Returns
        -------
        bool
            False if the same or a later state was already taken over, or if
            there is no room to remember that. Tickets that find no room are
            left out; requests that bring them are told that the outcome is
            unknown.

        Raises
        ------
        TicketError
            If `state` can't be decoded.
        """
        try:
            decoded = _decoder.decode(state)
        except DecodeError as error:
            raise TicketError("the state of the flow can't be decoded") from error
        self.collect(now)
        if decoded.epoch <= self._epoch_of(flow):
            return False
        if not self._has_room_for_epoch(flow):
            return False
        self._note_epoch(flow, decoded.epoch, now)
        self._take_over(flow, decoded, now)
        return True

    def collect(self, now: float) -> None:
        """Drop the records whose time has passed."""
        _collect(self._used_by_name, now - self._lifetime, self._remove)
        _collect(self._unused_by_name, now - UNUSED_LIFETIME_S, self._remove)
        while self._epochs_by_flow:
            flow, (_, noted_at) = next(iter(self._epochs_by_flow.items()))
            if noted_at > now - EPOCH_LIFETIME_S:
                break
            del self._epochs_by_flow[flow]

    def _judge_without_record(self, ticket: bytes, name: bytes) -> Verdict:
        if not name.startswith(self._book_id):
            return _UNKNOWN
        counter = int.from_bytes(name[BOOK_ID_BYTES:], "big")
        if not compare_digest(self._sign(counter), ticket):
            return _CHALLENGE
        return _UNKNOWN if counter in self._used_counters else _CHALLENGE

    def _judge_record(self, name, record, flow, digest) -> Verdict:
        if record.flow != flow:
            return self._judge_other_flow(name, record)
        if record.digest is None:
            return _RUN
        if not compare_digest(record.digest, digest):
            return _CHALLENGE
        if record.running:
            return _RUNNING
        if record.outcome is None:
            return _UNKNOWN
        return Verdict(Judgement.REPLAY, record.outcome)

    def _judge_other_flow(self, name, record) -> Verdict:
        # The caller's address may have changed. A used ticket may belong to
        # the same request; an unused one is made void before the request is
        # called not run.
        if record.digest is not None:
            return _UNKNOWN
        self._remove(name, record)
        return _CHALLENGE if name.startswith(self._book_id) else _UNKNOWN

    def _sign(self, counter: int) -> bytes:
        name = self._book_id + counter.to_bytes(COUNTER_BYTES, "big")
        mac = blake2b(name, key=self._key, digest_size=MAC_BYTES).digest()
        return bytes([TICKET_FORMAT]) + name + xxh32_digest(name) + mac

    def _find(self, name: bytes) -> _Record | None:
        return self._unused_by_name.get(name) or self._used_by_name.get(name)

    def _make_room(self) -> bool:
        if len(self) < self._max_outcomes:
            return True
        if not self._unused_by_name:
            return False
        self._remove(*next(iter(self._unused_by_name.items())))
        return True

    def _add_unused(self, record: _Record) -> None:
        tickets = self._tickets_by_flow.setdefault(record.flow, _FlowTickets())
        if len(tickets.unused_by_name) >= MAX_UNUSED_PER_FLOW:
            self._remove(*next(iter(tickets.unused_by_name.items())))
            tickets = self._tickets_by_flow.setdefault(record.flow, tickets)
        name = record.ticket[1:_NAME_END]
        self._unused_by_name[name] = record
        tickets.unused_by_name[name] = record

    def _add_used(self, name: bytes, record: _Record) -> None:
        self._note_used(name)
        tickets = self._tickets_by_flow.setdefault(record.flow, _FlowTickets())
        self._used_by_name[name] = record
        tickets.used_by_name[name] = record

    def _remove(self, name: bytes, record: _Record) -> None:
        tickets = self._tickets_by_flow[record.flow]
        for records_by_name in (
            self._unused_by_name,
            self._used_by_name,
            tickets.unused_by_name,
            tickets.used_by_name,
        ):
            records_by_name.pop(name, None)
        if not tickets.unused_by_name and not tickets.used_by_name:
            del self._tickets_by_flow[record.flow]

    def _note_used(self, name: bytes) -> None:
        if name.startswith(self._book_id):
            self._used_counters.add(int.from_bytes(name[BOOK_ID_BYTES:], "big"))

    def _epoch_of(self, flow: FlowKey) -> int:
        epoch, _ = self._epochs_by_flow.get(flow, (0, 0.0))
        return epoch

    def _has_room_for_epoch(self, flow: FlowKey) -> bool:
        known = self._epochs_by_flow
        return flow in known or len(known) < self._max_outcomes

    def _note_epoch(self, flow: FlowKey, epoch: int, now: float) -> None:
        self._epochs_by_flow.pop(flow, None)
        self._epochs_by_flow[flow] = (epoch, now)

    def _take_over(self, flow: FlowKey, state: _FlowState, now: float) -> None:
        for used in state.used:
            name = used.ticket[1:_NAME_END]
            if self._find(name) is not None or not self._make_room():
                continue
            record = _Record(used.ticket, flow, now)
            record.digest = used.digest
            record.outcome = used.outcome
            self._add_used(name, record)
        for ticket in state.unused:
            if self._find(ticket[1:_NAME_END]) is None and self._make_room():
                self._add_unused(_Record(ticket, flow, now))


def _is_well_formed(ticket: bytes) -> bool:
    if len(ticket) != TICKET_BYTES or ticket[0] != TICKET_FORMAT:
        return False
    name = ticket[1:_NAME_END]
    return ticket[_NAME_END:_MAC_START] == xxh32_digest(name)


def _all_records(tickets: _FlowTickets) -> Iterable[tuple[bytes, _Record]]:
    yield from list(tickets.unused_by_name.items())
    yield from list(tickets.used_by_name.items())


def _collect(records_by_name, oldest, remove) -> None:
    while records_by_name:
        name, record = next(iter(records_by_name.items()))
        if record.since > oldest:
            return
        remove(name, record)
