"""Revisions of a store that may come back from an older copy of itself.

Each balancer compares its own with those of all others many times a second.
Named tuples compare several times faster than data classes.
"""

from typing import NamedTuple


class StoreRevision(NamedTuple):
    """A revision of the store; one of a later era is always newer.

    Attributes
    ----------
    era : int
        Number that rises each time the store returns from an older copy, and
        gives out revisions again; 0 if the store does not report it.
    revision : int
        Number of the store's latest change, counted within the era; 0 if
        nothing is known.
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}/{self.revision}"


class ViewVersion(NamedTuple):
    """What a view is based on.

    Targets are ordered by the store's revision, routes by their own version:
    a store that has lost the latest configuration serves an older one until
    the operators write it again, and the older one must not be applied.

    Attributes
    ----------
    store : StoreRevision
        Revision of the store's latest change in the targets.
    configuration : int
        Version of the routes, 0 until any are known.
    """

    store: StoreRevision = StoreRevision()
    configuration: int = 0

    def is_behind(self, other: "ViewVersion") -> bool:
        """Return whether `other` has newer targets or newer routes."""
        return self.store < other.store or 0 < self.configuration < other.configuration

    def combine(self, other: "ViewVersion") -> "ViewVersion":
        """Return the newer revision and the newer version of the two."""
        return ViewVersion(
            max(self.store, other.store),
            max(self.configuration, other.configuration),
        )


class Versioned:
    """Properties of types with an era, a revision and a configuration."""

    __slots__ = ()

    @property
    def store(self) -> StoreRevision:
        """Revision of the store on which the targets are based."""
        return StoreRevision(self.era, self.revision)

    @property
    def version(self) -> ViewVersion:
        """What the view is based on."""
        return ViewVersion(self.store, self.configuration)
