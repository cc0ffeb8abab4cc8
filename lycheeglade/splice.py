"""Differences between two revisions of a long text."""

from collections.abc import Sequence
from dataclasses import dataclass

MAX_SPLICED_CHARS = 2 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Splice:
    """Replaces what stands between the ends that two texts share.

    Attributes
    ----------
    head, tail : int
        Characters of the old text that are kept at its start and its end.
    middle : str
        What the new text has between them.
    """

    head: int
    tail: int
    middle: str


def find_splice(old: str, new: str) -> Splice:
    """Return the shortest splice that turns `old` into `new`."""
    shorter = min(len(old), len(new))
    head = _longest(shorter, lambda count: old[:count] == new[:count])
    tail = _longest(
        shorter - head,
        lambda count: old[len(old) - count :] == new[len(new) - count :],
    )
    return Splice(head, tail, new[head : len(new) - tail])


def apply_splices(text: str, splices: Sequence[Splice]) -> str | None:
    """Return the text after all splices, None if one of them doesn't fit."""
    for splice in splices:
        kept = splice.head + splice.tail
        if splice.head < 0 or splice.tail < 0 or kept > len(text):
            return None
        if kept + len(splice.middle) > MAX_SPLICED_CHARS:
            return None
        end = text[len(text) - splice.tail :]
        text = text[: splice.head] + splice.middle + end
    return text


def _longest(limit, agrees):
    """Return the greatest count up to `limit` that agrees, by halving."""
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if agrees(middle):
            low = middle
        else:
            high = middle - 1
    return low
