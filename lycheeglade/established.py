"""Flows that a balancer answered lately, in a table of fixed size."""

from array import array
from math import inf

from lycheeglade.flow import FlowKey, hash_flow

ESTABLISHED_TIMEOUT_S = 60.0  # seconds after an answer
WAYS = 16


class EstablishedFlows:
    """Flows that an answer went back to lately, a bounded number of them.

    A flow's hash selects one of many small sets of slots, and a slot holds 32
    other bits of the hash and the time of the last answer: 12 bytes. A set is
    kept in the order of the answers. In a full one the flow that was silent
    longest is forgotten and treated as a new one until its next answer.
    Two flows of a set that agree in these bits count as one.

    Parameters
    ----------
    max_flows : int
        Slots of the table. With two thirds of them in use, hardly any set of
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
        """Note an answer to `flow` through this balancer."""
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
        """Tell whether `flow` got an answer lately."""
        start, mark = self._locate(flow)
        marks = self._marks[start : start + self._ways]
        if mark not in marks:
            return False
        return (
            now - self._answered_at[start + marks.index(mark)] <= ESTABLISHED_TIMEOUT_S
        )

    def expire(self, now: float, limit: int = 1000) -> None:
        """Forget flows without a late answer, looking at some slots a call."""
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
        """Return the first slot of the flow's set, and the flow's mark."""
        flow_hash = hash_flow(flow)
        # Zero marks a free slot.
        return flow_hash % self._sets * self._ways, flow_hash >> 32 or 1
