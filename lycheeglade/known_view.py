"""Merges the views that a process receives into the one that it uses."""

from dataclasses import dataclass, field

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
    """

    view: RoutingView = field(default_factory=RoutingView)
    history: TargetHistory = field(default_factory=TargetHistory)
    evacuations: EvacuationHistory = field(default_factory=EvacuationHistory)

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
        self.view = merged
        return True

    def is_due(self, now: float) -> bool:
        """Return whether `correct` would return another view than before."""
        return self.history.is_due(now) or self.evacuations.is_due(now)

    def correct(self, now: float) -> RoutingView:
        """Return the view by which connections are placed."""
        view = self.history.correct(self.view, now)
        return self.evacuations.correct(view, now)
