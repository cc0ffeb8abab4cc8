"""Keeps evacuations for a time if the store was restored from an older copy.

Such a store may lack an evacuation that its operators have not taken back.
They need some seconds to write it again, and until then no new connection may
reach the zone. An evacuation that the copy reintroduces needs no correction.
"""

from dataclasses import dataclass, field, replace

from lycheeglade.route import RoutingView

# Time for which an evacuation stays in force although the copy lacks it.
KEEP_S = 5.0


@dataclass(slots=True)
class EvacuationHistory:
    """Evacuations that a restored store lacks.

    Attributes
    ----------
    kept_until_by_zone : dict of str to float
        Names of zones that stay evacuated, and until when, in monotonic
        seconds.
    """

    kept_until_by_zone: dict[str, float] = field(default_factory=dict)

    def record(self, previous: RoutingView, view: RoutingView, now: float) -> None:
        """Record the changes from one view of the store to the next."""
        if view.store.era > previous.store.era:
            in_force = self.correct(previous, now).evacuated_zones
            self.kept_until_by_zone = dict.fromkeys(in_force, now + KEEP_S)
        for zone in view.evacuated_zones:
            # From here on, the store tells when the evacuation ends.
            self.kept_until_by_zone.pop(zone, None)

    def is_due(self, now: float) -> bool:
        """Return whether `correct` would return fewer zones than before."""
        return any(until <= now for until in self.kept_until_by_zone.values())

    def correct(self, view: RoutingView, now: float) -> RoutingView:
        """Return `view` with the evacuations that are kept."""
        self.kept_until_by_zone = {
            zone: until
            for zone, until in self.kept_until_by_zone.items()
            if until > now
        }
        kept = self.kept_until_by_zone.keys() - set(view.evacuated_zones)
        if not kept:
            return view
        zones = tuple(sorted({*kept, *view.evacuated_zones}))
        return replace(view, evacuated_zones=zones)
