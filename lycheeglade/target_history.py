"""Corrects the targets of a store that was restored from an older copy.

Such a store lists targets as ready that have since started to drain or ended.
Until the targets' next heartbeats have corrected the entries, the states that
this process observed before the restore take precedence. Targets that the copy
lacks are not handled here: placement keeps a target for a short time after its
entry has disappeared, as after any outage of the store.
"""

from dataclasses import dataclass, field, replace

from lycheeglade.lifetime import Lifetime, is_later
from lycheeglade.route import RoutingView
from lycheeglade.view import State, Target

# A copy of the store is at most this many seconds old.
MEMORY_S = 60.0
# The store removes the restored entry of a target that has ended within this
# time. One that is still there then belongs to a living target.
WITHHOLD_S = 5.0


@dataclass(frozen=True, slots=True)
class Sighting:
    """Latest observation of one lifetime of a target.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    """

    lifetime: Lifetime
    at: float


@dataclass(slots=True)
class TargetHistory:
    """Targets that were observed to drain or to end.

    Attributes
    ----------
    leaving_by_id : dict of str to Sighting
        Targets that have announced that they leave, and when their entries
        were last there.
    removals_by_id : dict of str to Sighting
        Targets whose entries disappeared within `MEMORY_S`, and when.
    withheld_until_by_id : dict of str to float
        Removed targets that the store names again since it was restored, and
        the time until which they are not used, in monotonic seconds.
    """

    leaving_by_id: dict[str, Sighting] = field(default_factory=dict)
    removals_by_id: dict[str, Sighting] = field(default_factory=dict)
    withheld_until_by_id: dict[str, float] = field(default_factory=dict)

    def record(self, previous: RoutingView, view: RoutingView, now: float) -> None:
        """Record the changes from one view of the store to the next."""
        before, after = _index_targets(previous), _index_targets(view)
        is_restored = view.store.era > previous.store.era and before != {}
        self.removals_by_id = _drop_old(self.removals_by_id, now)
        if is_restored:
            for target_id, target in after.items():
                if _is_covered(target, self.removals_by_id, view.era):
                    self.withheld_until_by_id[target_id] = now + WITHHOLD_S
        else:
            self._record_removals(before, after, previous.era, now)
        for target in after.values():
            self._record_leaving(target, view.era, now)
        self.leaving_by_id = _drop_old(self.leaving_by_id, now)

    def _record_leaving(self, target: Target, era: int, now: float) -> None:
        if self._correct_target(target, era).state is not State.LEAVING:
            return
        lifetime = _lifetime_of(target, era)
        seen = self.leaving_by_id.get(target.target_id)
        if seen is not None and (
            target.state is State.LIVE
            or not (
                lifetime.started_ms == seen.lifetime.started_ms
                or is_later(lifetime, seen.lifetime)
            )
        ):
            # The store was restored from a copy of an earlier state.
            lifetime = seen.lifetime
        self.leaving_by_id[target.target_id] = Sighting(lifetime, now)

    def _record_removals(
        self,
        before: dict[str, Target],
        after: dict[str, Target],
        era: int,
        now: float,
    ) -> None:
        for target_id in before.keys() - after.keys():
            lifetime = _lifetime_of(before[target_id], era)
            self.removals_by_id[target_id] = Sighting(lifetime, now)
            self.withheld_until_by_id.pop(target_id, None)
            if not before[target_id].lifetime:
                # A later entry may be of a new process.
                self.leaving_by_id.pop(target_id, None)
        for target_id in after.keys() - before.keys():
            # The entry was written again, by a living target.
            self.removals_by_id.pop(target_id, None)

    def is_due(self, now: float) -> bool:
        """Return whether `correct` would return more targets than before."""
        return any(until <= now for until in self.withheld_until_by_id.values())

    def correct(self, view: RoutingView, now: float) -> RoutingView:
        """Return `view` without the states that are known to be outdated.

        Withheld targets are left out. A target that has started to drain
        stays in that state for the rest of its lifetime.
        """
        for target_id, until in list(self.withheld_until_by_id.items()):
            if until <= now:
                del self.withheld_until_by_id[target_id]
                self.removals_by_id.pop(target_id, None)
        targets_by_service = {}
        is_changed = False
        for service, targets in view.targets_by_service.items():
            corrected = {
                target_id: self._correct_target(target, view.era)
                for target_id, target in targets.items()
                if not self._is_withheld(target, view.era)
            }
            is_changed = is_changed or corrected != targets
            targets_by_service[service] = corrected
        if not is_changed:
            return view
        return replace(view, targets_by_service=targets_by_service)

    def find_kept_leaving(self, view: RoutingView) -> list[str]:
        """Return the draining targets that `view` lists as ready."""
        return sorted(
            target_id
            for target_id, target in _index_targets(view).items()
            if self._correct_target(target, view.era) is not target
        )

    def _is_withheld(self, target: Target, era: int) -> bool:
        is_restored = target.target_id in self.withheld_until_by_id
        return is_restored and _is_covered(target, self.removals_by_id, era)

    def _correct_target(self, target: Target, era: int) -> Target:
        is_live = target.state is State.LIVE
        if is_live and _is_covered(target, self.leaving_by_id, era):
            return replace(target, state=State.LEAVING)
        return target


def _lifetime_of(target: Target, era: int) -> Lifetime:
    return Lifetime(target.lifetime, era, target.registration)


def _is_covered(target: Target, seen_by_id: dict[str, Sighting], era: int) -> bool:
    """Return whether this or a later lifetime of the target was observed."""
    seen = seen_by_id.get(target.target_id)
    return seen is not None and not is_later(_lifetime_of(target, era), seen.lifetime)


def _drop_old(seen_by_id: dict[str, Sighting], now: float) -> dict[str, Sighting]:
    return {
        target_id: seen
        for target_id, seen in seen_by_id.items()
        if now - seen.at <= MEMORY_S
    }


def _index_targets(view: RoutingView) -> dict[str, Target]:
    return {
        target_id: target
        for targets in view.targets_by_service.values()
        for target_id, target in targets.items()
    }
