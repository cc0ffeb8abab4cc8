"""Estimates costs at the design size from measured slopes."""

from bench import capacity_target as size
from bench.capacity_slopes import Slope
from lycheeglade.balancer import MAX_CACHED_BUCKETS, MAX_ESTABLISHED_FLOWS
from lycheeglade.established import ESTABLISHED_TIMEOUT_S
from lycheeglade.gossip import WATCH_S
from lycheeglade.routing import MAX_PREPARED_SERVICES
from lycheeglade.watch import WATCHERS


class CapacityEstimate:
    """Estimates of costs at the design size.

    Parameters
    ----------
    slopes : dict of str to Slope
        Measured slopes by name.
    base_mb_by_role : dict of str to float
        Resident megabytes of a new process with each role's modules.
    """

    def __init__(self, slopes: dict[str, Slope], base_mb_by_role: dict[str, float]):
        self.slopes = slopes
        self.base_mb_by_role = base_mb_by_role

    def scale(self, name: str, count: float) -> float:
        """Return the slope of `name` times `count`, without the intercept."""
        return self.slopes[name].line.slope * count

    def at(self, name: str, count: float) -> float:
        """Return the value of the fitted line of `name` at `count`."""
        return self.slopes[name].at(count)

    def at_largest_size(self, name: str) -> float:
        """Return the figure of `name` at the largest measured size."""
        return self.slopes[name].figures[-1]

    def config_mb(self, role: str) -> float:
        """Return the megabytes of a role's configuration.

        The largest residual of the line is added, so that the estimate isn't
        below any measured figure.
        """
        slope = self.slopes[f"{role}_config"]
        margin = slope.line.residual * sum(slope.figures) / len(slope.figures)
        return (slope.at(size.ADDRESSES) + margin) / 1000

    def rank_us(self) -> float:
        """Return the microseconds to rank a bucket of a mean service."""
        return self.at("rank", size.TARGETS_PER_SERVICE)

    def balancer_core(self) -> float:
        """Return the CPU cores that a balancer uses for packets."""
        trips = size.ROUND_TRIPS_PER_NODE_S
        return trips * (self.scale("relay", 1) / 1e3 + self.rank_us() / 1e6)

    def established_flows(self) -> float:
        """Return a balancer's answered flows within ESTABLISHED_TIMEOUT_S."""
        return size.ROUND_TRIPS_PER_NODE_S * ESTABLISHED_TIMEOUT_S

    def agent_core(self) -> float:
        """Return the CPU cores that an agent uses for its flows."""
        items = self.scale("item", size.ITEMS_PER_TARGET_S)
        opens = self.scale("request", size.OPENS_PER_TARGET_S)
        return (items + opens) / 1e3

    def balancer_mb(self) -> float:
        """Return the megabytes of a balancer.

        Its peers are counted as part of its configuration.
        """
        tables = self.scale("cache", MAX_CACHED_BUCKETS)
        tables += self.scale("cached_services", MAX_PREPARED_SERVICES)
        tables += self.scale("established", MAX_ESTABLISHED_FLOWS)
        tables += self.scale("sockets", size.ADDRESSES)
        return (
            self.base_mb_by_role["balancer"]
            + self.config_mb("balancer")
            + tables / 1000
        )

    def agent_mb(self) -> float:
        """Return the megabytes of an agent whose flows all have a feed."""
        flows = self.scale("feed", size.FLOWS_PER_TARGET) / 1000
        return self.base_mb_by_role["agent"] + self.config_mb("agent") + flows

    def idle_bytes(self) -> float:
        """Return gossip bytes per second without changes, both directions."""
        return self.at("gossip", size.ADDRESSES)

    def difference_bytes(self) -> float:
        """Return the bytes of a change of one host in a zone's list."""
        return self.at("difference", size.HOSTS_PER_ZONE)

    def change_bytes(self) -> float:
        """Return a process's bytes of a list change, in both directions."""
        return (
            self.at_largest_size("messages") * self.idle_bytes()
            + 2 * self.difference_bytes()
        )

    def control_bytes(self) -> float:
        """Return the average control bytes per second."""
        pushes = (
            self.at_largest_size("messages") * self.idle_bytes() * size.CHANGES_PER_DAY
        )
        lists = 2 * self.difference_bytes() * size.LIST_CHANGES_PER_DAY
        return self.idle_bytes() + (pushes + lists) / size.DAY_S

    def idle_core(self) -> float:
        """Return the share of a CPU core for gossip without changes."""
        return self.at("gossip_cpu", size.ADDRESSES) / 2 / 1000

    def change_ms(self, role: str) -> float:
        """Return the CPU milliseconds of one list change."""
        pushes = (
            self.at_largest_size("messages") * self.at("gossip_cpu", size.ADDRESSES) / 2
        )
        view = self.at("view", size.ADDRESSES)
        taken = self.at(f"{role}_view", size.ADDRESSES)
        return pushes + view + taken + self.at("list_cpu", size.HOSTS_PER_ZONE)

    def control_core(self, role: str) -> float:
        """Return the average share of a CPU core for control."""
        changes = self.change_ms(role) / 1000 * size.CHANGES_PER_DAY / size.DAY_S
        return self.idle_core() + changes

    def in_force_s(self, role: str) -> float:
        """Return the seconds until a change is in force in all processes."""
        return self.at_largest_size("spread") + self.change_ms(role) / 1000

    def start_s(self) -> float:
        """Return the CPU seconds to read all services at start-up."""
        return self.scale("read", size.ADDRESSES) / 1000


def idle_reads_per_s() -> float:
    """Return the platform reads per second without changes."""
    return WATCHERS / WATCH_S


def change_reads_per_s() -> float:
    """Return the platform reads per second for changes.

    Each change costs each watcher a read of the index and one of the value.
    """
    return 2 * WATCHERS * size.CHANGES_PER_DAY / size.DAY_S
