"""Placement of new connections by the load that agents report.

The cost of a target is its expected response time, for three reasons:

- Targets differ in speed, which is not published. Balancing the number of
  connections alone would overload the slow targets.
- Targets may fail part of their requests while their health checks pass. The
  delay that a failure causes its caller is added to the expected time.
- Many callers may connect at once, faster than reports arrive. A balancer adds
  its own placements since the last report. It compares only a few random
  targets, since otherwise all balancers would choose the same best one.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.view import Target
from lycheeglade.warmup import WINDOW_S

# Targets compared for a new connection (power of d choices).
SAMPLE_SIZE = 3
# An agent that has left a message unanswered for RESPONSE_TIMEOUT_S seconds
# gets no new connections.
RESPONSE_TIMEOUT_S = 0.8
# After CRASH_TIMEOUT_S seconds without an answer, the agent's connections are
# abandoned.
CRASH_TIMEOUT_S = 1.2
# Balancers repeat their requests to an unresponsive agent, so that this many
# are out before CRASH_TIMEOUT_S has passed. With a tenth of the answers lost,
# all of them are lost once in a million times.
MIN_UNANSWERED = 6
# An agent that has announced its exit, or that a balancer has not heard since
# its own start, has RESTART_TIMEOUT_S seconds to start again.
RESTART_TIMEOUT_S = 5.0
UNKNOWN_SERVICE_TIME_S = 0.03
MAX_BUSY = 0.95
# Busy share by which an agent reports that its cold target can take no opening
# at present.
FULL_BUSY = 1.0
# Keeps the cost of a cold target finite.
MIN_OPENINGS_PER_S = 1e-6
# Delay of a caller by a failed request: the time until the failure shows, and
# the time to open another connection.
FAILURE_COST_S = 0.3
# Additional cost of a target in another zone, in multiples of its service
# time.
OTHER_ZONE_COST = 0.5
OTHER_ZONE_BULK_COST = 8.0


@dataclass(slots=True)
class AgentLoad:
    """A balancer's record of one agent and its target's load.

    Attributes
    ----------
    last_heard_at : float
        Time of the latest message from the agent.
    reported_at : float
        Time of the latest report of the load.
    unanswered_since : float
        Time of the oldest message to the agent without an answer, None if
        all are answered.
    unanswered_messages : int
        Messages to the agent since its latest one.
    unanswered_requests : int
        Load requests among them.
    witnessed_requests : int
        Load requests among them, after which the balancer heard another agent
        before the next one.
    last_request_at : float
        Time of the latest load request.
    requested_at : float
        Time of the oldest load request since the agent's latest report, None
        if there is none.
    is_near : bool
        Whether the agent is in the balancer's zone.
    is_unmeasured : bool
        Whether the agent has reported that no request was measured yet.
    recent_placements : int
        Connections that this balancer has placed since the last report.
    previous_incarnation : int
        Identifies the agent's process before the present one, 0 if unknown.
    lifetime : int
        Start of the target's process in Unix milliseconds, 0 if it is not
        published, -1 before any is known.
    era, registration : int
        Order of this lifetime, see `Lifetime`.
    warmup_known : float
        Largest `warmup_left` that the view had in this lifetime, in seconds.
    cold_until : float
        End of the target's warmup.
    warmup_rate : float
        New connections per second that the cold target can handle, 0 if no
        limit is published.
    target_ended : bool
        Whether the agent has reported that the target's process has ended.
    service : str
        Service of the agent's target, as reported.
    started_at : float
        Start of the agent's process, -inf if it is not reported.
    is_restart_planned : bool
        Whether the agent's process before the present one announced its exit.
    is_target_older : bool
        Whether the agent has reported that its target has outlived an earlier
        process.
    """

    last_heard_at: float = float("-inf")
    reported_at: float = float("-inf")
    is_near: bool = True
    unanswered_since: float | None = None
    unanswered_messages: int = 0
    unanswered_requests: int = 0
    witnessed_requests: int = 0
    last_request_at: float = float("-inf")
    requested_at: float | None = None
    recent_placements: int = 0
    service_time: float = UNKNOWN_SERVICE_TIME_S
    is_unmeasured: bool = False
    running: int = 0
    busy: float = 0.0
    silent: bool = False
    leaving: bool = False
    failing: float = 0.0
    incarnation: int = 0
    previous_incarnation: int = 0
    slots: int = 0
    lifetime: int = -1
    era: int = 0
    registration: int = 0
    warmup_known: float = 0.0
    cold_until: float = float("-inf")
    warmup_rate: float = 0.0
    target_ended: bool = False
    service: str = ""
    started_at: float = float("-inf")
    is_restart_planned: bool = False
    is_target_older: bool = False

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold and its openings are limited."""
        return self.warmup_rate > 0.0 and now < self.cold_until

    def takes_no_opening(self, now: float) -> bool:
        """Return whether the openings of a cold target have used its limit.

        A report that is older than the limit's window tells nothing.
        """
        return (
            self.is_cold(now)
            and self.busy >= FULL_BUSY
            and now - self.reported_at < WINDOW_S
        )

    def has_crashed(
        self, now: float, answer_time: float = 0.0, may_restart: bool = False
    ) -> bool:
        """Return whether the agent's silence shows that it has crashed.

        The time-out is `CRASH_TIMEOUT_S`, or `RESTART_TIMEOUT_S` if the agent
        may return. Single datagrams may be lost, so `MIN_UNANSWERED` load
        requests must have stayed without an answer, and without an announced
        exit the balancer must have heard other agents after each.

        Parameters
        ----------
        answer_time : float
            Seconds that the agents take to answer the balancer at present.
        may_restart : bool
            Whether the agent may restart though it has not announced its exit
            here.
        """
        if self.unanswered_since is None:
            return False
        silence = now - self.unanswered_since - answer_time
        requests = self.unanswered_requests if self.leaving else self.witnessed_requests
        timeout = RESTART_TIMEOUT_S if self.leaving or may_restart else CRASH_TIMEOUT_S
        return requests >= MIN_UNANSWERED and silence > timeout

    def is_unresponsive(self, now: float) -> bool:
        """Return whether no answer came within `RESPONSE_TIMEOUT_S`."""
        return (
            self.unanswered_since is not None
            and now - self.unanswered_since > RESPONSE_TIMEOUT_S
        )


def expected_time(load: AgentLoad, slots: int) -> float:
    """Return the expected seconds until a new connection's first answer.

    The backlog accounts for the requests that wait now. The busy share
    accounts for future requests of connections that are already open, as the
    mean wait in an M/M/1 queue.
    """
    ahead = max(0, load.running + load.recent_placements + 1 - slots)
    busy = min(load.busy, MAX_BUSY)
    steady_wait = load.service_time * busy / (1.0 - busy) / slots
    failures = load.failing * FAILURE_COST_S
    return load.service_time * (1.0 + ahead / slots) + steady_wait + failures


@dataclass(frozen=True, slots=True)
class RankedTarget:
    """A target for a new connection, with its cost.

    `cost` is in seconds, see `expected_time`.
    """

    target: Target
    cost: float


def rank_by_load(
    targets: Collection[Target],
    loads_by_agent: Mapping[Address, AgentLoad],
    zone: Zone,
    now: float,
    generator: Random,
    is_bulk: bool = False,
    warmup_overage: float = 1.0,
) -> list[RankedTarget]:
    """Return a random few of `targets` for a new connection, best first.

    Targets that are silent, and targets whose agent is unresponsive or
    leaving, are excluded unless there are no others. So are those whose agent
    was never heard: after a loss of power, the view lists targets that do not
    come back. Up to `SAMPLE_SIZE`
    targets of the balancer's zone are compared with up to `SAMPLE_SIZE` of all
    zones.

    A target without a measured request counts as quick as the quickest that
    it is compared with. If it counted as slower, it would never be tried.

    Cold targets that can take no opening at present are left out if there are
    others. If all that are compared are cold, one that is not is added: the
    cold ones may have reached their limits meanwhile.

    Parameters
    ----------
    is_bulk : bool
        Whether requests or answers are long, so that traffic between zones
        costs more.
    warmup_overage : float
        Factor by which a cold target may get more than its rate.
    """
    usable = [t for t in targets if _is_usable(loads_by_agent.get(t.agent), now)]
    heard = [t for t in usable if _was_heard(loads_by_agent.get(t.agent))]
    usable = heard or usable or list(targets)
    chosen = _sample(usable, zone, generator)
    if any(_takes_no_opening(loads_by_agent.get(t.agent), now) for t in chosen):
        usable = [
            t for t in usable if not _takes_no_opening(loads_by_agent.get(t.agent), now)
        ] or usable
        chosen = _sample(usable, zone, generator)
    if all(_is_cold(loads_by_agent.get(t.agent), now) for t in chosen):
        warm = [t for t in usable if not _is_cold(loads_by_agent.get(t.agent), now)]
        chosen += generator.sample(warm, min(1, len(warm)))
    zone_cost = OTHER_ZONE_BULK_COST if is_bulk else OTHER_ZONE_COST
    loads = [loads_by_agent.get(target.agent) or AgentLoad() for target in chosen]
    assumed_time = min(
        (load.service_time for load in loads if not load.is_unmeasured),
        default=UNKNOWN_SERVICE_TIME_S,
    )
    ranked_by_agent = {
        target.agent: _estimate_cost(
            target,
            load,
            zone,
            zone_cost,
            assumed_time,
            _seconds_per_opening(load, warmup_overage, now),
        )
        for target, load in zip(chosen, loads, strict=True)
    }
    return sorted(ranked_by_agent.values(), key=lambda place: place.cost)


def _sample(usable: list[Target], zone: Zone, generator: Random) -> list[Target]:
    """Return a few random targets, and a few of the zone."""
    chosen = generator.sample(usable, min(SAMPLE_SIZE, len(usable)))
    in_own_zone = [target for target in usable if target.zone == zone]
    return chosen + generator.sample(in_own_zone, min(SAMPLE_SIZE, len(in_own_zone)))


def _is_usable(load: AgentLoad | None, now: float) -> bool:
    return load is None or not (
        load.silent or load.leaving or load.target_ended or load.is_unresponsive(now)
    )


def _was_heard(load: AgentLoad | None) -> bool:
    return load is not None and load.last_heard_at > float("-inf")


def _is_cold(load: AgentLoad | None, now: float) -> bool:
    return load is not None and load.is_cold(now)


def _takes_no_opening(load: AgentLoad | None, now: float) -> bool:
    return load is not None and load.takes_no_opening(now)


def _seconds_per_opening(load: AgentLoad, overage: float, now: float) -> float:
    """Return the interval of a cold target's openings, 0 if not cold."""
    if not load.is_cold(now):
        return 0.0
    return 1.0 / max(load.warmup_rate * overage, MIN_OPENINGS_PER_S)


def _expected_cold_time(load: AgentLoad, slots: int, interval: float) -> float:
    """Return the expected seconds until a cold target's first answer.

    Openings take their turns at least `interval` seconds apart, whatever the
    number of slots. The busy share is not used: the openings are limited by
    their number, and a steady wait would leave part of the limit unused.
    """
    limited = replace(load, service_time=max(load.service_time, interval), busy=0.0)
    return max(expected_time(limited, slots), interval * (1 + load.recent_placements))


def _estimate_cost(
    target: Target,
    load: AgentLoad,
    zone: Zone,
    zone_cost: float,
    assumed_time: float,
    seconds_per_opening: float,
) -> RankedTarget:
    if load.is_unmeasured:
        load = replace(load, service_time=assumed_time)
    extra_cost = load.service_time * zone_cost if target.zone != zone else 0.0
    if seconds_per_opening:
        time = _expected_cold_time(load, target.slots, seconds_per_opening)
    else:
        time = expected_time(load, target.slots)
    return RankedTarget(target, time + extra_cost)
