"""Merges the views that a process receives into the one that it uses."""

from dataclasses import dataclass, field

from lycheeglade.address_history import AddressHistory
from lycheeglade.evacuation_history import EvacuationHistory
from lycheeglade.route import RoutingView, merge_views
from lycheeglade.target_history import TargetHistory


@dataclass(slots=True)
class KnownView:
    """The newest view so far, and the history of its targets and evacuations.

    Attributes
    ----------
    view : RoutingView
        Newest targets and newest routes as they were published, which is
        what other balancers fetch.
    history : TargetHistory
        Targets that were observed to drain or to end.
    evacuations : EvacuationHistory
        Evacuations that a restored store lacks.
    addresses : AddressHistory
        Latest registrations at the addresses of the targets.
    """

    view: RoutingView = field(default_factory=RoutingView)
    history: TargetHistory = field(default_factory=TargetHistory)
    evacuations: EvacuationHistory = field(default_factory=EvacuationHistory)
    addresses: AddressHistory = field(default_factory=AddressHistory)

    def receive(self, view: RoutingView, now: float) -> bool:
        """Take what is newer in `view`; return whether anything was.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        merged = merge_views(self.view, view)
        if merged is self.view:
            return False
        self.history.record(self.view, merged, now)
        self.evacuations.record(self.view, merged, now)
        self.addresses.record(merged, now)
        self.view = merged
        return True

    def is_due(self, now: float) -> bool:
        """Return whether `correct` would return another view than before."""
        histories = (self.history, self.evacuations, self.addresses)
        return any(history.is_due(now) for history in histories)

    def correct(self, now: float) -> RoutingView:
        """Return the view by which connections are placed."""
        view = self.addresses.correct(self.view, now)
        view = self.history.correct(view, now)
        return self.evacuations.correct(view, now)
