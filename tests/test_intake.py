"""Tests that a request is answered "not run" only if no copy of it can run."""

from random import Random

import pytest
from aiocoap import POST, Message
from aiocoap.numbers.codes import Code
from msgspec.structs import replace

from lycheeglade.address import Address, Zone
from lycheeglade.admission import Admission, AdmissionLimits
from lycheeglade.agent import make_agent, receive_packet, update_view
from lycheeglade.agent_state import AgentActions
from lycheeglade.flow import FlowKey
from lycheeglade.packet import Delegate, Forward
from lycheeglade.ticket import TicketRegistry
from lycheeglade.view import Host, Protocol, Role, Service, Target, View

ZONE = Zone("viti-west", "nadi-a")
BALANCER = Address("127.0.0.1", 7100)
AGENT = Address("127.0.0.2", 7100)
FLOW = FlowKey("booth-sync", "127.0.0.9", 4000)


class Harness:
    def __init__(self):
        self.answers = []
        self.runs = []
        actions = AgentActions(
            send=lambda address, packet: self.answers.append(packet),
            send_upstream=lambda key, flow, datagram: self.runs.append(datagram),
            close_upstream=lambda key, flow: None,
            count=lambda name, service, cause: None,
            record=lambda service, work, stage, seconds: None,
        )
        self.agent = make_agent("host-1", ZONE, actions, Random(1), 10, 0.0)
        target = Target("a", "host-1", ZONE, AGENT, Address("127.0.0.2", 5683))
        service = Service(
            name=FLOW.service,
            tenant="reelbure",
            revision=1,
            protocol=Protocol.COAP,
            addresses=(),
            places=("viti-west",),
            targets_by_id={"a": target},
            cold_start=0.0,
        )
        host = Host("balancer", Role.BALANCER, ZONE, BALANCER, BALANCER)
        update_view(
            self.agent, View(1, {service.name: service}, {"balancer": host}), 0.0
        )
        (self.served,) = self.agent.served_by_key.values()

    def post(self, message_id, ticket=None):
        """Send a POST and return the codes of the answers to the caller."""
        message = Message(code=POST, payload=b"spot 7 aired")
        message.mtype, message.mid, message.token = 0, message_id, b"t"
        if ticket is not None:
            message.opt.echo = ticket
        self.answers.clear()
        forward = Forward(
            FLOW.service,
            "a",
            1,
            FLOW.caller_ip,
            FLOW.caller_port,
            ("a",),
            0,
            *BALANCER,
            message.encode(),
        )
        receive_packet(self.agent, forward, BALANCER, 1.0)
        decoded = [Message.decode(answer.payload) for answer in self.answers]
        self.echoes = [m.opt.echo for m in decoded if m.opt.echo]
        return [m.code for m in decoded if m.code is not Code.EMPTY]


def test_request_that_admission_refused_never_runs_later():
    harness = Harness()
    harness.post(1)
    ticket = harness.echoes[0]
    harness.served.admission.drain(1.0)
    assert harness.post(2, ticket) == [Code.SERVICE_UNAVAILABLE]
    harness.served.admission = Admission(AdmissionLimits(), 0.0)
    assert harness.post(3, ticket) == [Code.SERVICE_UNAVAILABLE]
    assert harness.runs == []


def test_copy_of_a_running_request_is_not_refused_as_not_run(monkeypatch):
    harness = Harness()
    harness.post(1)
    ticket = harness.echoes[0]
    harness.post(2, ticket)
    assert len(harness.runs) == 1
    monkeypatch.setattr("lycheeglade.intake.MAX_REQUESTS_PER_FLOW", 1)
    assert Code.SERVICE_UNAVAILABLE not in harness.post(3, ticket)


def test_request_over_the_flow_limit_never_runs_later(monkeypatch):
    harness = Harness()
    harness.post(1)
    ticket = harness.echoes[0]
    monkeypatch.setattr("lycheeglade.intake.MAX_REQUESTS_PER_FLOW", 0)
    assert harness.post(2, ticket) == [Code.SERVICE_UNAVAILABLE]
    monkeypatch.undo()
    assert harness.post(3, ticket) == [Code.SERVICE_UNAVAILABLE]
    assert harness.runs == []


@pytest.mark.parametrize("is_known", [False, True], ids=["foreign", "own"])
def test_request_of_a_flow_that_finds_no_room(is_known):
    harness = Harness()
    harness.served.admission.drain(1.0)
    registry = (
        harness.served.ticket_registry if is_known else TicketRegistry(b"key", "b", 1)
    )
    ticket = registry.issue(FLOW, 0.0)
    expected = Code.SERVICE_UNAVAILABLE if is_known else Code.GATEWAY_TIMEOUT
    assert harness.post(1, ticket) == [expected]
    harness.served.admission = Admission(AdmissionLimits(), 0.0)
    assert harness.post(2, ticket) == [expected]
    assert harness.runs == []


def test_delegated_copy_does_not_run_after_a_long_pause():
    harness = Harness()
    message = Message(code=POST, payload=b"spot 7 aired")
    message.mtype, message.mid, message.token = 0, 1, b"t"
    packet = Delegate(
        service=FLOW.service,
        target_id="a",
        home_target_id="b",
        delegation_id=7,
        incarnation=harness.agent.incarnation,
        home_busy=1.0,
        home_is_full=True,
        payload=message.encode(),
    )
    other = replace(packet, delegation_id=8)
    for arrived, now in ((packet, 1.0), (packet, 2.0), (other, 4e3), (packet, 4e3)):
        receive_packet(harness.agent, arrived, AGENT, now)
        harness.agent.timers.run_due(now + 60.0)
    assert len(harness.runs) == 2
