"""Balancers, agents and targets in virtual time, over links with faults."""

from collections.abc import Callable
from dataclasses import replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from lycheeglade.address import Address
from lycheeglade.connection_agent import (
    is_port_check_due,
    receive_from_target,
)
from lycheeglade.connection_agent import receive_message as agent_receive
from lycheeglade.connection_agent import tick as tick_agent
from lycheeglade.connection_agent_daemon import EXIT_REPORT_PAUSES_S
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    ConnectionAgentActions,
)
from lycheeglade.connection_balancer import receive_message as balancer_receive
from lycheeglade.connection_balancer import (
    receive_segment,
    update_routing,
)
from lycheeglade.connection_balancer import tick as tick_balancer
from lycheeglade.connection_balancer_state import (
    ConnectionBalancer,
    ConnectionBalancerActions,
)
from lycheeglade.connection_load import MS_PER_S, announce_exit
from lycheeglade.relay_message import LoadRequest
from tests.connections import (
    KEY,
    OTHER_ZONE,
    OWN_ZONE,
    data,
    from_target,
    make_target,
    make_view,
)

TICK_S = 0.02
# Other balancers request a report of each agent once in this time. They make
# an agent's reports to one balancer as rare as in a fleet of their number.
OTHER_BALANCERS = 58
OTHER_REQUEST_INTERVAL_S = 1.0
STARTED_AT = -100.0
EPOCH_MS = 1.8e12


def to_unix_ms(now):
    return EPOCH_MS + now * MS_PER_S


class FleetAgent:
    """Agent of one target, which holds connections or returns segments."""

    def __init__(self, fleet: "Fleet", number: int):
        self.fleet = fleet
        zone = OWN_ZONE if number % 4 == 0 else OTHER_ZONE
        lifetime = int(to_unix_ms(STARTED_AT))
        self.target = replace(make_target(number, zone), lifetime=lifetime)
        self.address = self.target.agent
        self.held = set()
        self.service_time = 0.02
        self.has_target_ended = False
        self.incarnation = 0
        self.agent = None
        self.start(STARTED_AT)

    def start(self, now):
        """Start another process of the agent."""
        self.incarnation += 1
        actions = ConnectionAgentActions(
            send=lambda to, message: self.fleet.transmit(self.address, to, message),
            deliver=self._deliver,
            answer=lambda segment: None,
            reset=lambda key, ack: self.fleet.resets.append((key, self.fleet.now)),
            decode=self.fleet.segments_by_datagram.__getitem__,
            log=lambda event, **fields: None,
            record=lambda stage, seconds: None,
        )
        self.agent = ConnectionAgent(
            "booth-sync",
            self.incarnation,
            actions,
            now,
            started_unix_ms=to_unix_ms(now),
        )

    def start_with_target(self, now):
        """Start another process of both, as after a loss of power."""
        self.held.clear()
        self.target = replace(self.target, lifetime=int(to_unix_ms(now)))
        self.start(now)

    def restart(self, at, seconds):
        """Restart the agent's process by plan."""
        back_at = at + seconds
        for pause in EXIT_REPORT_PAUSES_S:
            self.fleet.at(at, lambda: announce_exit(self.agent, self.fleet.now))
            at += pause
        self.fleet.at(at, self.stop)
        self.fleet.at(back_at, lambda: self.start(back_at))

    def stop(self):
        self.agent = None

    def receive(self, message, source):
        if self.agent is not None:
            agent_receive(self.agent, message, source, self.fleet.now)

    def tick(self, now):
        if self.agent is not None:
            if is_port_check_due(self.agent, now):
                self.agent.is_port_closed = self.has_target_ended
            tick_agent(self.agent, now)

    def _deliver(self, segment, tag):
        key = segment.key_from_caller
        if self.has_target_ended:
            return
        if key not in self.held:
            self._send(replace(segment, tag=tag, returned=True), 0.001)
        elif segment.data_bytes:
            port = key.caller.port
            self._send(from_target(port, data_bytes=9), self.service_time)

    def _send(self, segment, delay):
        def send():
            if self.agent is not None:
                receive_from_target(self.agent, segment, self.fleet.now)

        self.fleet.at(self.fleet.now + delay, send)


class Fleet:
    """One balancer and the agents of its targets.

    Attributes
    ----------
    delay : callable
        Returns the seconds that a message takes, by its time.
    is_lost : callable
        Returns whether a message is lost, by its source and destination.
    paused_until : float
        End of a pause of the balancer's process.
    """

    def __init__(self, agents=12, seed=1):
        self.now = 0.0
        self.revision = 4
        self.events = []
        self.order = count()
        self.generator = Random(seed)
        self.delay: Callable[[float], float] = lambda now: 0.005
        self.is_lost: Callable[[Address, Address], bool] = lambda source, to: False
        self.segments_by_datagram = {}
        self.resets = []
        self.logged = []
        self.agents = [FleetAgent(self, number) for number in range(1, agents + 1)]
        self.agents_by_address = {agent.address: agent for agent in self.agents}
        self.others = [Address(f"10.1.2.{n}", 7720) for n in range(OTHER_BALANCERS)]
        self.paused_until = 0.0
        self.start_balancer()
        self.at(0.0, self._tick)
        self.at(0.0, self._request_by_others)

    def start_balancer(self, targets=None):
        """Start another process of the balancer.

        Parameters
        ----------
        targets : list of Target, optional
            Targets as the store names them, by default as they are.
        """
        actions = ConnectionBalancerActions(
            send=lambda to, message: self.transmit(self.balancer.address, to, message),
            reset=lambda key, ack: self.resets.append((key, self.now)),
            log=lambda event, **fields: self.logged.append((self.now, event, fields)),
        )
        self.balancer = ConnectionBalancer(
            OWN_ZONE, Address("10.1.0.10", 7720), actions, self.generator
        )
        self.apply_view(
            [agent.target for agent in self.agents] if targets is None else targets
        )

    def apply_view(self, targets):
        """Let the balancer follow the store, which names `targets`."""
        self.revision += 1
        view = make_view(targets, revision=self.revision)
        update_routing(self.balancer, view, self.now or 1e-6)

    def at(self, time, act):
        heappush(self.events, (time, next(self.order), act))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, act = heappop(self.events)
            act()
        self.now = until

    def transmit(self, source, to, message):
        if self.is_lost(source, to):
            return
        balancer = self.balancer.address
        delay = self.delay(self.now) if balancer in (source, to) else 0.005
        self.at(self.now + delay, lambda: self._receive(source, to, message))

    def call(self, at, **fields):
        """Let the caller of the connection `KEY` send data."""

        def send():
            segment = data(**fields)
            self.segments_by_datagram[segment.datagram] = segment
            if self.now < self.paused_until:
                # The socket of callers is read before that of messages.
                self.at(self.paused_until, lambda: self._receive_segment(segment))
            else:
                self._receive_segment(segment)

        self.at(at, send)

    def _receive_segment(self, segment):
        receive_segment(self.balancer, segment, self.now)

    def _receive(self, source, to, message):
        if to == self.balancer.address:
            if self.now < self.paused_until:
                later = self.paused_until + TICK_S / 10
                self.at(later, lambda: self._receive(source, to, message))
            else:
                balancer_receive(self.balancer, message, source, self.now)
        elif to in self.agents_by_address:
            self.agents_by_address[to].receive(message, source)

    def _tick(self):
        if self.now >= self.paused_until:
            tick_balancer(self.balancer, self.now)
        for agent in self.agents:
            agent.tick(self.now)
        self.at(self.now + TICK_S, self._tick)

    def _request_by_others(self):
        for number, balancer in enumerate(self.others):
            for agent in self.agents:
                request = LoadRequest(1, is_near=number % 4 == 0)
                agent.receive(request, balancer)
        self.at(self.now + OTHER_REQUEST_INTERVAL_S, self._request_by_others)

    def is_reset(self):
        """Return whether the connection `KEY` was reset, and print why."""
        print([entry for entry in self.logged if entry[1] == "reset"])
        return any(key == KEY for key, _ in self.resets)
