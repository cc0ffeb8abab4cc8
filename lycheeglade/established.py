"""Fixed-size table of the flows with recent answers through a balancer."""

from array import array
from math import inf

from lycheeglade.flow import FlowKey, hash_flow

ESTABLISHED_TIMEOUT_S = 60.0  # after the latest answer
SLOTS_PER_SET = 16


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
        `SLOTS_PER_SET` slots is full.
    """

    def __init__(self, max_flows: int):
        max_flows = max(1, max_flows)
        self._set_count = max(1, max_flows // SLOTS_PER_SET)
        self._slots_per_set = max_flows // self._set_count
        slots = self._set_count * self._slots_per_set
        self._tags = array("I", [0]) * slots
        self._answered_at = array("d", [-inf]) * slots
        self._count = 0
        self._expiry_position = 0

    def __len__(self):
        return self._count

    def record_answer(self, flow: FlowKey, now: float) -> None:
        """Record an answer to `flow` through this balancer."""
        start, tag = self._locate(flow)
        last = start + self._slots_per_set - 1
        if self._tags[last] == tag:
            self._answered_at[last] = now
            return
        tags = self._tags[start : last + 1]
        slot = start
        if tag in tags:
            slot += tags.index(tag)
        elif not tags[0]:
            self._count += 1
        for column, entry in ((self._tags, tag), (self._answered_at, now)):
            column[slot:last] = column[slot + 1 : last + 1]
            column[last] = entry

    def is_established(self, flow: FlowKey, now: float) -> bool:
        """Return whether `flow` was answered in `ESTABLISHED_TIMEOUT_S`."""
        start, tag = self._locate(flow)
        tags = self._tags[start : start + self._slots_per_set]
        if tag not in tags:
            return False
        return now - self._answered_at[start + tags.index(tag)] <= ESTABLISHED_TIMEOUT_S

    def expire(self, now: float, limit: int = 1000) -> None:
        """Remove expired flows from the next `limit` slots of the table."""
        slots = len(self._tags)
        for _ in range(min(limit, slots)):
            slot = self._expiry_position
            self._expiry_position = (slot + 1) % slots
            if (
                self._tags[slot]
                and now - self._answered_at[slot] > ESTABLISHED_TIMEOUT_S
            ):
                self._tags[slot] = 0
                self._answered_at[slot] = -inf
                self._count -= 1

    def _locate(self, flow: FlowKey) -> tuple[int, int]:
        """Return the first slot of the flow's set, and the flow's tag."""
        flow_hash = hash_flow(flow)
        # A tag of zero denotes a free slot.
        return flow_hash % self._set_count * self._slots_per_set, flow_hash >> 32 or 1
