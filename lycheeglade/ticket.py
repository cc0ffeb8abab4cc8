"""Tickets that let a request run at most once.

A ticket names the book that minted it and a counter, under a MAC. A request
runs only against an unused ticket that this book has on record, so a ticket
without a record never runs here. What the book still has to know about such a
ticket is whether it was ever used: one bit for each ticket says so.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from hmac import compare_digest

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.errors import TicketError
from lycheeglade.flow import FlowKey
from lycheeglade.ticket_format import (
    counter_of,
    is_well_formed,
    make_book_id,
    make_ticket,
    ticket_name,
)
from lycheeglade.ticket_store import TicketRecord, TicketStore
from lycheeglade.used_counters import UsedCounters

MAX_OUTCOME_BYTES = 1280
UNUSED_LIFETIME_S = 24 * 3600.0
EPOCH_LIFETIME_S = 24 * 3600.0


class TicketAction(Enum):
    """What may be done with a request that isn't repeatable."""

    CHALLENGE = "challenge"
    RUN = "run"
    RUNNING = "running"
    REPLAY = "replay"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TicketDecision:
    """Judgement of one request, with the remembered outcome of a replay."""

    action: TicketAction
    outcome: bytes = b""


_CHALLENGE = TicketDecision(TicketAction.CHALLENGE)
_RUN = TicketDecision(TicketAction.RUN)
_RUNNING = TicketDecision(TicketAction.RUNNING)
_UNKNOWN = TicketDecision(TicketAction.UNKNOWN)


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


def map_exported_tickets(
    state: bytes,
    map_digest: Callable[[bytes], bytes],
    map_outcome: Callable[[bytes | None], bytes | None],
) -> bytes:
    """Return exported tickets with other digests and outcomes.

    Raises
    ------
    msgspec.DecodeError
        If `state` can't be decoded.
    """
    decoded = _decoder.decode(state)
    used = tuple(
        _UsedTicket(each.ticket, map_digest(each.digest), map_outcome(each.outcome))
        for each in decoded.used
    )
    return _encoder.encode(_FlowState(decoded.epoch, decoded.unused, used))


class TicketRegistry:
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
        self._book_id = make_book_id(minter, incarnation)
        self._max_outcomes = max_outcomes
        self._lifetime = lifetime
        self._next_counter = 0
        self._store = TicketStore(max_outcomes)
        self._used_counters = UsedCounters()
        self._epochs_by_flow: dict[FlowKey, tuple[int, float]] = {}

    def __len__(self):
        return len(self._store)

    def issue(self, flow: FlowKey, now: float) -> bytes | None:
        """Return a new ticket for `flow`.

        Returns
        -------
        bytes or None
            None if the memory of outcomes is full. A request without a ticket
            is then refused as not run.
        """
        self.collect(now)
        if not self._store.make_room():
            return None
        ticket = make_ticket(self._key, self._book_id, self._next_counter)
        self._next_counter += 1
        self._store.add_unused(TicketRecord(ticket, flow, now))
        return ticket

    def decide(
        self, ticket: bytes | None, flow: FlowKey, digest: bytes, now: float
    ) -> TicketDecision:
        """Tell what to do with a request that brings `ticket`.

        Parameters
        ----------
        digest : bytes
            Hash of what makes the request itself: method, path and payload,
            but not what changes when it is sent again.
        """
        self.collect(now)
        if ticket is None or not is_well_formed(ticket):
            return _CHALLENGE
        record = self._store.find(ticket_name(ticket))
        if record is None:
            return self._judge_without_record(ticket)
        if not compare_digest(record.ticket, ticket):
            return _CHALLENGE
        if record.flow != flow:
            return self._judge_other_flow(record)
        return _judge_record(record, digest)

    def begin(self, ticket: bytes, digest: bytes, now: float) -> None:
        """Mark `ticket` as used, before its request is handed on.

        Raises
        ------
        TicketError
            If the ticket isn't on record as unused.
        """
        record = self._store.find_unused(ticket_name(ticket))
        if record is None:
            raise TicketError("the ticket is not on record as unused")
        self._store.remove(record)
        record.digest = digest
        record.running = True
        record.since = now
        self._add_used(record)

    def finish(self, ticket: bytes, outcome: bytes, now: float) -> None:
        """Remember the final answer to the request that used `ticket`.

        A refusal is an outcome too: a request that was refused as not run
        must get the same refusal if a late duplicate of it arrives. An outcome
        over ``MAX_OUTCOME_BYTES`` isn't kept, and neither is one whose flow
        has moved; repeats are then told that it is unknown.
        """
        record = self._store.find(ticket_name(ticket))
        if record is None or not record.running:
            return
        record.running = False
        if len(outcome) <= MAX_OUTCOME_BYTES:
            record.outcome = outcome

    def forget_flow(self, flow: FlowKey) -> None:
        """Drop the unused tickets of a flow that has ended."""
        for record in self._store.list_unused(flow):
            self._store.remove(record)

    def export_flow(self, flow: FlowKey, now: float) -> bytes:
        """Give up a flow's tickets and return them for its successor.

        From here on this book says that the outcome is unknown to any request
        that brings one of them. A request that is still running is exported as
        used without an outcome.
        """
        self.collect(now)
        unused = self._store.list_unused(flow)
        used = self._store.list_used(flow)
        for record in unused + used:
            self._store.remove(record)
            self._note_used(record)
        epoch = self._epoch_of(flow) + 1
        if self._has_room_for_epoch(flow):
            self._note_epoch(flow, epoch, now)
        state = _FlowState(
            epoch,
            tuple(record.ticket for record in unused),
            tuple(_UsedTicket(r.ticket, r.digest, r.outcome) for r in used),
        )
        return _encoder.encode(state)

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
        """Drop what has expired."""
        self._store.remove_old(
            unused_before=now - UNUSED_LIFETIME_S, used_before=now - self._lifetime
        )
        while self._epochs_by_flow:
            flow, (_, noted_at) = next(iter(self._epochs_by_flow.items()))
            if noted_at > now - EPOCH_LIFETIME_S:
                break
            del self._epochs_by_flow[flow]

    def _judge_without_record(self, ticket: bytes) -> TicketDecision:
        name = ticket_name(ticket)
        if not name.startswith(self._book_id):
            return _UNKNOWN
        counter = counter_of(name)
        own = make_ticket(self._key, self._book_id, counter)
        if not compare_digest(own, ticket):
            return _CHALLENGE
        return _UNKNOWN if counter in self._used_counters else _CHALLENGE

    def _judge_other_flow(self, record: TicketRecord) -> TicketDecision:
        # The caller's address may have changed. A used ticket may belong to
        # the same request; an unused one is made void before the request is
        # called not run.
        if record.digest is not None:
            return _UNKNOWN
        self._store.remove(record)
        return self._judge_without_record(record.ticket)

    def _add_used(self, record: TicketRecord) -> None:
        self._note_used(record)
        self._store.add_used(record)

    def _note_used(self, record: TicketRecord) -> None:
        name = ticket_name(record.ticket)
        if name.startswith(self._book_id):
            self._used_counters.add(counter_of(name))

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
            if self._has_room_for_ticket(used.ticket):
                record = TicketRecord(used.ticket, flow, now)
                record.digest = used.digest
                record.outcome = used.outcome
                self._add_used(record)
        for ticket in state.unused:
            if self._has_room_for_ticket(ticket):
                self._store.add_unused(TicketRecord(ticket, flow, now))

    def _has_room_for_ticket(self, ticket: bytes) -> bool:
        if self._store.find(ticket_name(ticket)) is not None:
            return False
        return self._store.make_room()


def _judge_record(record: TicketRecord, digest: bytes) -> TicketDecision:
    if record.digest is None:
        return _RUN
    if not compare_digest(record.digest, digest):
        return _CHALLENGE
    if record.running:
        return _RUNNING
    if record.outcome is None:
        return _UNKNOWN
    return TicketDecision(TicketAction.REPLAY, record.outcome)
