"""Computes and applies differences between two revisions of a text."""

from collections.abc import Sequence
from dataclasses import dataclass

MAX_SPLICED_CHARS = 2 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Splice:
    """Replacement of the text between a common prefix and suffix.

    Attributes
    ----------
    head, tail : int
        Number of characters that are kept at the start and at the end of the
        old text.
    middle : str
        New text between the kept parts.
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
    """Return the text after all splices, None if one is invalid for it.

    A splice is invalid if it keeps more than the text or a negative number of
    characters, or if its result exceeds `MAX_SPLICED_CHARS`.
    """
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
    """Return the greatest count up to `limit` that agrees, by bisection."""
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if agrees(middle):
            low = middle
        else:
            high = middle - 1
    return low
