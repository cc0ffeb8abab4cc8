"""Bounded store of ticket records, by name and by flow."""

from lycheeglade.flow import FlowKey
from lycheeglade.ticket_format import ticket_name

MAX_UNUSED_PER_FLOW = 16


class TicketRecord:
    """Record of a ticket, which is unused while `digest` is None.

    Attributes
    ----------
    since : float
        Time at which the ticket was issued, or at which its request began.
    digest : bytes or None
        Hash of the request that used it.
    outcome : bytes or None
        Final answer to the request, or None if it is not known.
    """

    __slots__ = ("digest", "flow", "outcome", "running", "since", "ticket")

    def __init__(self, ticket: bytes, flow: FlowKey, since: float):
        self.ticket = ticket
        self.flow = flow
        self.since = since
        self.digest: bytes | None = None
        self.running = False
        self.outcome: bytes | None = None


class _FlowRecords:
    __slots__ = ("unused_by_name", "used_by_name")

    def __init__(self):
        self.unused_by_name: dict[bytes, TicketRecord] = {}
        self.used_by_name: dict[bytes, TicketRecord] = {}


class TicketStore:
    """Ticket records of one target, oldest first.

    Parameters
    ----------
    max_records : int
        Maximum number of records, used and unused together.
    """

    def __init__(self, max_records: int):
        self._max_records = max_records
        self._unused_by_name: dict[bytes, TicketRecord] = {}
        self._used_by_name: dict[bytes, TicketRecord] = {}
        self._records_by_flow: dict[FlowKey, _FlowRecords] = {}

    def __len__(self):
        return len(self._unused_by_name) + len(self._used_by_name)

    def find(self, name: bytes) -> TicketRecord | None:
        """Return the record of the ticket with `name`."""
        return self._unused_by_name.get(name) or self._used_by_name.get(name)

    def find_unused(self, name: bytes) -> TicketRecord | None:
        """Return the record of the ticket with `name` if it is unused."""
        return self._unused_by_name.get(name)

    def list_unused(self, flow: FlowKey) -> list[TicketRecord]:
        """Return the unused tickets of `flow`, oldest first."""
        records = self._records_by_flow.get(flow)
        return list(records.unused_by_name.values()) if records else []

    def list_used(self, flow: FlowKey) -> list[TicketRecord]:
        """Return the used tickets of `flow`, oldest first."""
        records = self._records_by_flow.get(flow)
        return list(records.used_by_name.values()) if records else []

    def make_room(self) -> bool:
        """Discard the oldest unused record if the store is full.

        Returns
        -------
        bool
            False if the store is full of used records.
        """
        if len(self) < self._max_records:
            return True
        if not self._unused_by_name:
            return False
        self.remove(next(iter(self._unused_by_name.values())))
        return True

    def add_unused(self, record: TicketRecord) -> None:
        """Add a record of an unused ticket.

        If the flow has ``MAX_UNUSED_PER_FLOW`` of them, discard its oldest.
        """
        unused = self.list_unused(record.flow)
        if len(unused) >= MAX_UNUSED_PER_FLOW:
            self.remove(unused[0])
        records = self._records_by_flow.setdefault(record.flow, _FlowRecords())
        name = ticket_name(record.ticket)
        self._unused_by_name[name] = record
        records.unused_by_name[name] = record

    def add_used(self, record: TicketRecord) -> None:
        """Add the record of a used ticket."""
        records = self._records_by_flow.setdefault(record.flow, _FlowRecords())
        name = ticket_name(record.ticket)
        self._used_by_name[name] = record
        records.used_by_name[name] = record

    def remove(self, record: TicketRecord) -> None:
        """Remove a record."""
        name = ticket_name(record.ticket)
        records = self._records_by_flow[record.flow]
        for records_by_name in (
            self._unused_by_name,
            self._used_by_name,
            records.unused_by_name,
            records.used_by_name,
        ):
            records_by_name.pop(name, None)
        if not records.unused_by_name and not records.used_by_name:
            del self._records_by_flow[record.flow]

    def remove_expired(self, unused_before: float, used_before: float) -> None:
        """Remove the records with times up to the given ones."""
        for records_by_name, before in (
            (self._unused_by_name, unused_before),
            (self._used_by_name, used_before),
        ):
            while records_by_name:
                record = next(iter(records_by_name.values()))
                if record.since > before:
                    break
                self.remove(record)
