"""Fixed-size table of the flows with recent answers through a balancer."""

from array import array
from math import inf

from lycheeglade.flow import FlowKey, hash_flow

ESTABLISHED_TIMEOUT_S = 60.0  # after the latest answer
WAYS = 16


class EstablishedFlows:
    """Set-associative table of flows that were answered recently.

    A flow's hash selects a small set of slots. A slot takes 12 bytes: 32 other
    bits of the hash as a tag, and the time of the last answer. The slots of a
    set are in order of last answer. A full set evicts the least recently
    answered flow, which is treated as a new flow until its next answer. Flows
    of a set with equal tags share an entry.

    Parameters
    ----------
    max_flows : int
        Number of slots. With two thirds of them in use, hardly any set of
        `WAYS` slots is full.
    """

    def __init__(self, max_flows: int):
        max_flows = max(1, max_flows)
        self._sets = max(1, max_flows // WAYS)
        self._ways = max_flows // self._sets
        slots = self._sets * self._ways
        self._marks = array("I", [0]) * slots
        self._answered_at = array("d", [-inf]) * slots
        self._count = 0
        self._next_expired = 0

    def __len__(self):
        return self._count

    def record_answer(self, flow: FlowKey, now: float) -> None:
        """Record an answer to `flow` through this balancer."""
        start, mark = self._locate(flow)
        last = start + self._ways - 1
        if self._marks[last] == mark:
            self._answered_at[last] = now
            return
        marks = self._marks[start : last + 1]
        slot = start
        if mark in marks:
            slot += marks.index(mark)
        elif not marks[0]:
            self._count += 1
        for column, entry in ((self._marks, mark), (self._answered_at, now)):
            column[slot:last] = column[slot + 1 : last + 1]
            column[last] = entry

    def is_established(self, flow: FlowKey, now: float) -> bool:
        """Return whether `flow` was answered in `ESTABLISHED_TIMEOUT_S`."""
        start, mark = self._locate(flow)
        marks = self._marks[start : start + self._ways]
        if mark not in marks:
            return False
        return (
            now - self._answered_at[start + marks.index(mark)] <= ESTABLISHED_TIMEOUT_S
        )

    def expire(self, now: float, limit: int = 1000) -> None:
        """Remove expired flows from the next `limit` slots of the table."""
        slots = len(self._marks)
        for _ in range(min(limit, slots)):
            slot = self._next_expired
            self._next_expired = (slot + 1) % slots
            if (
                self._marks[slot]
                and now - self._answered_at[slot] > ESTABLISHED_TIMEOUT_S
            ):
                self._marks[slot] = 0
                self._answered_at[slot] = -inf
                self._count -= 1

    def _locate(self, flow: FlowKey) -> tuple[int, int]:
        """Return the first slot of the flow's set, and the flow's tag."""
        flow_hash = hash_flow(flow)
        # A tag of zero denotes a free slot.
        return flow_hash % self._sets * self._ways, flow_hash >> 32 or 1
