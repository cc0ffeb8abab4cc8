"""Order of the lifetimes of a target.

Each start of a target begins a lifetime. Its start in Unix milliseconds tells
it from others, but does not order them: the target's clock may be set back.
The revisions of the store do, within one era of the store.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Lifetime:
    """One lifetime of a target.

    Attributes
    ----------
    started_ms : int
        Start in Unix milliseconds, 0 if it is not published, -1 if there was
        none before.
    era : int
        Era of the store that has its entry.
    registration : int
        Revision of the store, 0 if it is not known; see `Target`.
    """

    started_ms: int
    era: int = 0
    registration: int = 0


def is_later(lifetime: Lifetime, known: Lifetime) -> bool:
    """Return whether a lifetime has begun after `known`.

    Across eras the starts decide: a restored store counts its revisions anew.
    An entry without a start is of the known lifetime.
    """
    if lifetime.started_ms in (0, known.started_ms):
        return known.started_ms < 0
    if lifetime.era == known.era and lifetime.registration and known.registration:
        return lifetime.registration > known.registration
    return lifetime.started_ms > known.started_ms
