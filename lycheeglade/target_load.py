"""Where new connections are placed, by what agents report of their load.

Answers three load patterns. Targets of unequal, unpublished speed: a count of
connections alone would fill the slow ones, so that places are compared by the
wait that is expected there. Targets that fail part of their requests though
their health is good: what a failure costs its caller counts as a wait. A fleet
that returns at once: reports are older than the last placements, so that these
are added to them, and each balancer compares a random few targets, since all
would choose the same best one.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.view import Target

# Targets compared for a new connection (power of d choices).
CHOICES = 3
# An agent that reports nothing for that long is passed over.
SILENT_S = 0.8
# The connections of an agent that is silent for that long are given up.
DEAD_S = 1.2
# One that has announced its end is given that long to start again.
RESTART_S = 5.0
UNKNOWN_SERVICE_TIME_S = 0.03
MAX_BUSY = 0.95
# What a failed request costs its caller: another connection, and the time that
# showed the failure.
FAILURE_COST_S = 0.3
# What a connection to another zone costs beside the wait, in service times.
OTHER_ZONE_COST = 0.5
OTHER_ZONE_BULK_COST = 8.0


@dataclass(slots=True)
class AgentLoad:
    """What a balancer knows of one agent.

    Attributes
    ----------
    heard_at : float
        When the last message came.
    greeted_at : float
        When the oldest message was sent that is not answered yet.
    placed : int
        Connections that this balancer sent since the last report.
    """

    heard_at: float = float("-inf")
    greeted_at: float | None = None
    placed: int = 0
    service_time: float = UNKNOWN_SERVICE_TIME_S
    running: int = 0
    busy: float = 0.0
    silent: bool = False
    leaving: bool = False
    failing: float = 0.0
    incarnation: int = 0
    slots: int = 0

    def is_dead(self, now: float) -> bool:
        """Tell whether the agent has crashed, as far as silence shows it."""
        if self.greeted_at is None:
            return False
        return now - self.greeted_at > (RESTART_S if self.leaving else DEAD_S)

    def is_lost(self, now: float) -> bool:
        """Tell whether the agent has not answered for `SILENT_S`."""
        return self.greeted_at is not None and now - self.greeted_at > SILENT_S


def expected_time(load: AgentLoad, slots: int) -> float:
    """Return the seconds until a request of a new connection is answered.

    The backlog is what waits now; the busy share stands for the requests of
    the connections that are open already (mean wait of an M/M/1 queue).
    """
    ahead = max(0, load.running + load.placed + 1 - slots)
    busy = min(load.busy, MAX_BUSY)
    steady_wait = load.service_time * busy / (1.0 - busy) / slots
    failures = load.failing * FAILURE_COST_S
    return load.service_time * (1.0 + ahead / slots) + steady_wait + failures


@dataclass(frozen=True, slots=True)
class Place:
    """A target that a new connection may go to, and what that costs.

    `cost` is in seconds, see `expected_time`.
    """

    target: Target
    cost: float


def rank_places(
    targets: Collection[Target],
    loads_by_agent: Mapping[Address, AgentLoad],
    zone: Zone,
    now: float,
    generator: Random,
    is_bulk: bool = False,
) -> list[Place]:
    """Return a few of `targets` for a new connection, best first.

    Targets that answer nothing and agents that are lost are left out, as
    long as there is any other. A few of the own zone are compared with a few
    of all.

    Parameters
    ----------
    is_bulk : bool
        Answers are long, so that the way between zones matters more.
    """
    usable = [t for t in targets if _is_usable(loads_by_agent.get(t.agent), now)]
    usable = usable or list(targets)
    chosen = generator.sample(usable, min(CHOICES, len(usable)))
    near = [target for target in usable if target.zone == zone]
    chosen += generator.sample(near, min(CHOICES, len(near)))
    zone_cost = OTHER_ZONE_BULK_COST if is_bulk else OTHER_ZONE_COST
    places_by_agent = {
        target.agent: _weigh(target, loads_by_agent, zone, zone_cost)
        for target in chosen
    }
    return sorted(places_by_agent.values(), key=lambda place: place.cost)


def _is_usable(load: AgentLoad | None, now: float) -> bool:
    return load is None or not (load.silent or load.leaving or load.is_lost(now))


def _weigh(
    target: Target,
    loads_by_agent: Mapping[Address, AgentLoad],
    zone: Zone,
    zone_cost: float,
) -> Place:
    load = loads_by_agent.get(target.agent) or AgentLoad()
    away = load.service_time * zone_cost if target.zone != zone else 0.0
    return Place(target, expected_time(load, target.slots) + away)
