"""Tickets, with which a non-repeatable request runs at most once.

A ticket contains the id of the registry that issued it, a counter, and a MAC.
A request runs only with an unused ticket that the registry has on record. For
a ticket without a record, the registry has to know only whether the ticket was
ever used, which takes one bit per ticket.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from hmac import compare_digest

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.errors import DECODE_ERRORS, TicketError
from lycheeglade.flow import FlowKey
from lycheeglade.ticket_format import (
    counter_of,
    is_well_formed,
    make_registry_id,
    make_ticket,
    ticket_name,
)
from lycheeglade.ticket_store import TicketRecord, TicketStore
from lycheeglade.used_counters import UsedCounters

MAX_OUTCOME_BYTES = 1280
UNUSED_LIFETIME_S = 24 * 3600.0
EPOCH_LIFETIME_S = 24 * 3600.0


class TicketAction(Enum):
    """What the agent does with a request that isn't repeatable."""

    CHALLENGE = "challenge"
    RUN = "run"
    RUNNING = "running"
    REPLAY = "replay"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TicketDecision:
    """Decision on one request, with the stored outcome for a replay."""

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
    """Return an exported state with replaced digests and outcomes.

    Raises
    ------
    DecodeError, RecursionError
        `DECODE_ERRORS`, if `state` can't be decoded.
    """
    decoded = _decoder.decode(state)
    used = tuple(
        _UsedTicket(each.ticket, map_digest(each.digest), map_outcome(each.outcome))
        for each in decoded.used
    )
    return _encoder.encode(_FlowState(decoded.epoch, decoded.unused, used))


class TicketRegistry:
    """Tickets of one target, issued and checked by one agent process.

    The registry holds at most `max_outcomes` records. When it is full, it
    discards the oldest unused ticket, and a request with a discarded ticket is
    challenged again. If all records are of used tickets, it issues no ticket
    until the first of them expires, since an outcome is never discarded early.

    Parameters
    ----------
    key : bytes
        Secret MAC key of this process, up to 64 bytes.
    issuer : str
        Identifier of the target and its agent.
    incarnation : int
        Random 64-bit number drawn at each start of the process.
    max_outcomes : int
        Maximum number of records.
    lifetime : float
        Seconds for which an outcome is stored after its request began. Must
        exceed the longest duration of a request.
    """

    def __init__(
        self,
        key: bytes,
        issuer: str,
        incarnation: int,
        max_outcomes: int = 10_000,
        lifetime: float = 300.0,
    ):
        self._key = key
        self._registry_id = make_registry_id(issuer, incarnation)
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
            None if all records are of used tickets. A request without a ticket
            is then refused as not run.
        """
        self.discard_expired(now)
        if not self._store.make_room():
            return None
        ticket = make_ticket(self._key, self._registry_id, self._next_counter)
        self._next_counter += 1
        self._store.add_unused(TicketRecord(ticket, flow, now))
        return ticket

    def decide(
        self, ticket: bytes | None, flow: FlowKey, digest: bytes, now: float
    ) -> TicketDecision:
        """Decide what to do with a request that carries `ticket`.

        Parameters
        ----------
        digest : bytes
            Hash of the request's method, path and payload, without the fields
            that change when the request is sent again.
        """
        self.discard_expired(now)
        if ticket is None or not is_well_formed(ticket):
            return _CHALLENGE
        record = self._store.find(ticket_name(ticket))
        if record is None:
            return self._decide_without_record(ticket)
        if not compare_digest(record.ticket, ticket):
            return _CHALLENGE
        if record.flow != flow:
            return self._decide_for_other_flow(record)
        return _decide_for_record(record, digest)

    def begin(self, ticket: bytes, digest: bytes, now: float) -> None:
        """Mark `ticket` as used before its request is sent to an upstream.

        Raises
        ------
        TicketError
            If there is no record of `ticket` as unused.
        """
        record = self._store.find_unused(ticket_name(ticket))
        if record is None:
            raise TicketError("ticket is used or unknown, expected an unused one")
        self._store.remove(record)
        record.digest = digest
        record.running = True
        record.since = now
        self._add_used(record)

    def finish(self, ticket: bytes, outcome: bytes, now: float) -> None:
        """Store the final answer to the request that used `ticket`.

        A refusal is stored too, since a late duplicate of a request that was
        refused as not run must get the same refusal. An outcome isn't stored
        if it exceeds ``MAX_OUTCOME_BYTES`` or if the flow has moved to another
        target. Duplicates are then answered that the outcome is unknown.
        """
        record = self._store.find(ticket_name(ticket))
        if record is None or not record.running:
            return
        record.running = False
        if len(outcome) <= MAX_OUTCOME_BYTES:
            record.outcome = outcome

    def discard_unused(self, flow: FlowKey) -> None:
        """Discard the unused tickets of a flow that has ended."""
        for record in self._store.list_unused(flow):
            self._store.remove(record)

    def export_flow(self, flow: FlowKey, now: float) -> bytes:
        """Remove a flow's tickets and return them for the flow's next home.

        The registry then decides that the outcome of any request with one of
        these tickets is unknown. The ticket of a request that is still running
        is exported as used without an outcome.
        """
        self.discard_expired(now)
        unused = self._store.list_unused(flow)
        used = self._store.list_used(flow)
        for record in unused + used:
            self._store.remove(record)
            self._mark_used(record)
        epoch = self._epoch_of(flow) + 1
        if self._has_room_for_epoch(flow):
            self._record_epoch(flow, epoch, now)
        state = _FlowState(
            epoch,
            tuple(record.ticket for record in unused),
            tuple(_UsedTicket(r.ticket, r.digest, r.outcome) for r in used),
        )
        return _encoder.encode(state)

    def import_flow(self, flow: FlowKey, state: bytes, now: float) -> bool:
        """Import the tickets that another registry exported for `flow`.

        Tickets for which the registry has no room are left out. The outcome of
        a request with one of them is unknown.

        Returns
        -------
        bool
            False if the same or a later state was already imported, or if the
            registry has no room for the epoch of `state`.

        Raises
        ------
        TicketError
            If `state` can't be decoded.
        """
        try:
            decoded = _decoder.decode(state)
        except DECODE_ERRORS as error:
            raise TicketError("exported ticket state can't be decoded") from error
        self.discard_expired(now)
        if decoded.epoch <= self._epoch_of(flow):
            return False
        if not self._has_room_for_epoch(flow):
            return False
        self._record_epoch(flow, decoded.epoch, now)
        self._import_tickets(flow, decoded, now)
        return True

    def discard_expired(self, now: float) -> None:
        """Discard expired records and epochs."""
        self._store.remove_expired(
            unused_before=now - UNUSED_LIFETIME_S, used_before=now - self._lifetime
        )
        while self._epochs_by_flow:
            flow, (_, recorded_at) = next(iter(self._epochs_by_flow.items()))
            if recorded_at > now - EPOCH_LIFETIME_S:
                break
            del self._epochs_by_flow[flow]

    def _decide_without_record(self, ticket: bytes) -> TicketDecision:
        name = ticket_name(ticket)
        if not name.startswith(self._registry_id):
            return _UNKNOWN
        counter = counter_of(name)
        own = make_ticket(self._key, self._registry_id, counter)
        if not compare_digest(own, ticket):
            return _CHALLENGE
        return _UNKNOWN if counter in self._used_counters else _CHALLENGE

    def _decide_for_other_flow(self, record: TicketRecord) -> TicketDecision:
        # The caller's address may have changed, so a used ticket may belong to
        # this request. An unused ticket is removed before the request is
        # answered as not run, so that it can't be used later.
        if record.digest is not None:
            return _UNKNOWN
        self._store.remove(record)
        return self._decide_without_record(record.ticket)

    def _add_used(self, record: TicketRecord) -> None:
        self._mark_used(record)
        self._store.add_used(record)

    def _mark_used(self, record: TicketRecord) -> None:
        name = ticket_name(record.ticket)
        if name.startswith(self._registry_id):
            self._used_counters.add(counter_of(name))

    def _epoch_of(self, flow: FlowKey) -> int:
        epoch, _ = self._epochs_by_flow.get(flow, (0, 0.0))
        return epoch

    def _has_room_for_epoch(self, flow: FlowKey) -> bool:
        known = self._epochs_by_flow
        return flow in known or len(known) < self._max_outcomes

    def _record_epoch(self, flow: FlowKey, epoch: int, now: float) -> None:
        self._epochs_by_flow.pop(flow, None)
        self._epochs_by_flow[flow] = (epoch, now)

    def _import_tickets(self, flow: FlowKey, state: _FlowState, now: float) -> None:
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


def _decide_for_record(record: TicketRecord, digest: bytes) -> TicketDecision:
    if record.digest is None:
        return _RUN
    if not compare_digest(record.digest, digest):
        return _CHALLENGE
    if record.running:
        return _RUNNING
    if record.outcome is None:
        return _UNKNOWN
    return TicketDecision(TicketAction.REPLAY, record.outcome)
