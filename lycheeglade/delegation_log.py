"""Memory of the requests that peers delegated to this agent.

A datagram may arrive twice, so a peer's request runs only if its id is new.
Ids that were given back are remembered too: a late copy must not run after the
home was told that the request came back untouched.
"""

from enum import Enum

MAX_IDS_PER_HOME = 4096
MAX_INCARNATIONS_PER_HOME = 4


class Delegation(Enum):
    """What is known of a delegated request."""

    NEW = "new"
    RAN = "ran"
    RETURNED = "returned"
    TOO_OLD = "too old"


class _Ids:
    __slots__ = ("floor", "ran_by_id")

    def __init__(self):
        self.ran_by_id: dict[int, bool] = {}
        self.floor = -1


class DelegationLog:
    """Ids of delegated requests, for each home and each of its incarnations.

    Entries leave by number and not by time, so that a copy that waited while
    this process was paused is still recognised. Ids below the remembered ones
    count as too old and must be dropped without a reply.

    Parameters
    ----------
    max_homes : int
        Bound of the homes. Of the homes over it, the one that was silent for
        the longest time is forgotten.
    """

    def __init__(self, max_homes: int = 1024):
        self._max_homes = max_homes
        self._ids_by_home: dict[str, dict[int, _Ids]] = {}

    def judge(self, home_id: str, incarnation: int, request_id: int) -> Delegation:
        """Tell whether a delegated request is new.

        Parameters
        ----------
        incarnation : int
            Random number of the home's process.
        request_id : int
            Number that grows with each delegation of that process.
        """
        ids = self._ids_by_home.get(home_id, {}).get(incarnation)
        if ids is None:
            return Delegation.NEW
        if request_id <= ids.floor:
            return Delegation.TOO_OLD
        ran = ids.ran_by_id.get(request_id)
        if ran is None:
            return Delegation.NEW
        return Delegation.RAN if ran else Delegation.RETURNED

    def note(
        self, home_id: str, incarnation: int, request_id: int, *, ran: bool
    ) -> None:
        """Remember a new request, before it is run or given back."""
        incarnations = self._ids_by_home.pop(home_id, {})
        self._ids_by_home[home_id] = incarnations
        ids = incarnations.setdefault(incarnation, _Ids())
        ids.ran_by_id[request_id] = ran
        if len(ids.ran_by_id) > MAX_IDS_PER_HOME:
            ids.floor = min(ids.ran_by_id)
            del ids.ran_by_id[ids.floor]
        _drop_first(incarnations, MAX_INCARNATIONS_PER_HOME)
        _drop_first(self._ids_by_home, self._max_homes)


def _drop_first(entries: dict, bound: int) -> None:
    if len(entries) > bound:
        del entries[next(iter(entries))]
