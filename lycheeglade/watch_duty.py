"""Decides which balancers of a zone read the store.

Each call to the store is paid for, and a watch of each balancer would return
each change once per balancer. So one balancer in each zone watches, and the
others follow it. No agreement is needed: a watcher too many costs its calls, a
watcher too few is missed within `WATCHER_TIMEOUT_S`. Loads and faults that
this answers: many targets that change in quick succession, all watchers of a
zone killed at once, watchers that are cut off from the store or from their
peers, and a store that is down or refuses some balancers only.
"""

from collections.abc import Collection
from dataclasses import dataclass

from lycheeglade.address import Address
from lycheeglade.relay_message import Duty

# A zone without a watcher's status for WATCHER_TIMEOUT_S seconds needs another
# watcher. The balancers of the zone take over one after the other, in the
# order of their addresses, unless one before them has reported meanwhile.
WATCHER_TIMEOUT_S = 0.8
TAKEOVER_STEP_S = 0.08
MAX_TAKEOVER_STEPS = 8
# Balancers of one zone that try to reach a failing store at a time. One that
# has failed for TRY_TURN_S seconds leaves its turn to the others of its zone,
# which may reach the store.
MAX_TRYING = 2
TRY_TURN_S = 0.4
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class ZonePeer:
    """Another balancer of the own zone, as it last reported.

    Attributes
    ----------
    heard_at : float
        Time of its latest status, in monotonic seconds.
    failed_at : float
        Time at which it last stopped trying to reach the store.
    """

    address: Address
    heard_at: float
    duty: Duty
    failed_at: float = NEVER


@dataclass(slots=True)
class Turn:
    """Turn of a balancer at trying to reach the store, and its latest end.

    Attributes
    ----------
    started_at : float
        Start of the present or the latest turn.
    has_failed : bool
        Whether a call has failed in that turn.
    failed_at : float
        End of the latest turn without an answer, -inf if there was none.
    """

    started_at: float = NEVER
    has_failed: bool = False
    failed_at: float = NEVER

    def start(self, now: float) -> None:
        """Start a turn."""
        self.started_at = now
        self.has_failed = False

    def is_over(self, now: float) -> bool:
        """Return whether the present turn has lasted and failed."""
        return self.has_failed and now - self.started_at >= TRY_TURN_S


def choose_duty(
    own: Address,
    current: Duty,
    peers: Collection[ZonePeer],
    missed_since: float,
    now: float,
    turn: Turn,
) -> Duty:
    """Return whether the balancer at `own` reads the store from now on.

    A balancer that reads the store goes on until one with a lower address
    watches, so that restarted balancers do not displace a watcher.

    Parameters
    ----------
    current : Duty
        Duty so far; trying until the store answers, and while it fails.
    peers : collection of ZonePeer
        Other known balancers of the zone.
    missed_since : float
        Time since which this balancer knows of no watcher in its zone, in
        monotonic seconds.
    turn : Turn
        Turn of this balancer.
    """
    recent = [peer for peer in peers if now - peer.heard_at < WATCHER_TIMEOUT_S]
    watchers = [peer.address for peer in recent if peer.duty is Duty.WATCHER]
    if current is Duty.WATCHER:
        return Duty.FOLLOWER if any(a < own for a in watchers) else current
    if watchers:
        return Duty.FOLLOWER
    followers = [peer for peer in peers if peer.duty is Duty.FOLLOWER]
    if current is Duty.TRYING:
        return Duty.FOLLOWER if turn.is_over(now) and followers else current
    trying = sum(peer.duty is Duty.TRYING for peer in recent)
    if trying >= MAX_TRYING:
        return current
    # Those that have not failed go first, then the one that failed first.
    position = sum(
        (peer.failed_at, peer.address) < (turn.failed_at, own) for peer in followers
    )
    steps = min(position, MAX_TAKEOVER_STEPS)
    last_failed_at = max([turn.failed_at, *(peer.failed_at for peer in peers)])
    vacant_since = max(missed_since + WATCHER_TIMEOUT_S, last_failed_at)
    is_due = now - vacant_since >= steps * TAKEOVER_STEP_S
    return Duty.TRYING if is_due else current
