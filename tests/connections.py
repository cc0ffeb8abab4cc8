"""Helpers for tests of balancers and agents that handle connections."""

from dataclasses import dataclass, field, replace
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    ConnectionAgentActions,
)
from lycheeglade.connection_balancer import receive_message, update_routing
from lycheeglade.connection_balancer_state import (
    ConnectionBalancer,
    ConnectionBalancerActions,
)
from lycheeglade.relay_message import ForwardSegment, LoadReport
from lycheeglade.route import Route, RoutingView
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.view import State, Target

OWN_ZONE = Zone("viti-west", "nadi-a")
OTHER_ZONE = Zone("viti-west", "nadi-b")
CALLER = Address("100.64.0.7", 40001)
SERVICE = Address("198.18.0.1", 443)
BALANCER = Address("10.1.0.10", 7720)
KEY = ConnectionKey(CALLER, SERVICE)
ROUTE = Route(SERVICE, {"booth-sync": 1.0}, timeout=1.5)


def make_target(number, zone=OWN_ZONE, state=State.LIVE, slots=1):
    ip = f"10.1.1.{number}"
    return Target(
        f"t{number}",
        ip,
        zone,
        agent=Address(ip, 7720),
        upstream=Address(ip, 8080),
        slots=slots,
        state=state,
    )


TARGETS = [make_target(number) for number in (1, 2, 3)]
AGENTS = [target.agent for target in TARGETS]


def make_view(targets, routes=(ROUTE,), revision=5, service="booth-sync"):
    return RoutingView(
        revision,
        1,
        {route.address: route for route in routes},
        {service: {target.target_id: target for target in targets}},
    )


def make_report(service_time=0.02, running=0, busy=0.0, **fields):
    return LoadReport(
        **{
            "incarnation": 1,
            "service": "booth-sync",
            "running": running,
            "service_time": service_time,
            "busy": busy,
            "connections": 0,
            **fields,
        }
    )


def from_caller(port=40001, **fields):
    """Return a caller's segment whose datagram is its `repr`."""
    segment = Segment(Address(CALLER.ip, port), SERVICE, **fields)
    return replace(segment, datagram=repr(segment).encode())


def from_target(port=40001, **fields):
    return Segment(SERVICE, Address(CALLER.ip, port), **fields)


def opening(port=40001, copies=0):
    return from_caller(port, opens=True, sequence=7, acknowledgement=copies)


def data(port=40001, sequence=8, data_bytes=100, acknowledgement=1001):
    return from_caller(
        port,
        acknowledges=True,
        sequence=sequence,
        acknowledgement=acknowledgement,
        data_bytes=data_bytes,
    )


@dataclass
class BalancerRecorder:
    """Records the messages, resets and events of a balancer."""

    sent: list = field(default_factory=list)
    resets: list = field(default_factory=list)
    events: list = field(default_factory=list)

    def make(self, view=None, now=0.0, seed=1):
        actions = ConnectionBalancerActions(
            send=lambda address, message: self.sent.append((address, message)),
            reset=lambda key, ack: self.resets.append((key, ack)),
            log=lambda event, **fields: self.events.append((event, fields)),
        )
        balancer = ConnectionBalancer(OWN_ZONE, BALANCER, actions, Random(seed))
        if view is not None:
            update_routing(balancer, view, now)
        return balancer

    def make_heard(self):
        """Return a balancer of `TARGETS` that has heard their agents."""
        balancer = self.make(make_view(TARGETS))
        for agent in AGENTS:
            receive_message(balancer, make_report(), agent, 0.0)
        self.sent.clear()
        return balancer

    def pop_forwarded_segments(self):
        """Return the `ForwardSegment` messages sent; clear the record."""
        sent, self.sent[:] = list(self.sent), []
        return [pair for pair in sent if isinstance(pair[1], ForwardSegment)]


@dataclass
class AgentRecorder:
    """Records the messages, segments, resets and events of an agent."""

    sent: list = field(default_factory=list)
    delivered: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    resets: list = field(default_factory=list)
    events: list = field(default_factory=list)
    segments_by_datagram: dict = field(default_factory=dict)

    def make(self, now=0.0, service="booth-sync"):
        actions = ConnectionAgentActions(
            send=lambda address, message: self.sent.append((address, message)),
            deliver=lambda segment, tag: self.delivered.append((segment, tag)),
            answer=self.answers.append,
            reset=lambda key, ack: self.resets.append((key, ack)),
            decode=self.segments_by_datagram.__getitem__,
            log=lambda event, **fields: self.events.append((event, fields)),
            record=lambda stage, seconds: None,
        )
        return ConnectionAgent(service, 1, actions, now)

    def make_forward_segment(self, segment, **fields):
        """Return a `ForwardSegment` message with a decodable segment."""
        self.segments_by_datagram[segment.datagram] = segment
        fields = {"balancer": BALANCER, "service": "booth-sync", **fields}
        return ForwardSegment(datagram=segment.datagram, **fields)
