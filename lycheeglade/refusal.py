"""Answers to requests of new flows that no target can admit."""

from lycheeglade.address import Address
from lycheeglade.agent_state import Agent, make_answer
from lycheeglade.exchange import reply_to
from lycheeglade.flow import FlowKey
from lycheeglade.message import CallerMessage, Kind
from lycheeglade.packet import Forward, flow_of
from lycheeglade.served_target import ServedTarget
from lycheeglade.ticket import TicketAction

REFUSED_FLOW_RETRY_AFTER_S = 2


def refuse_flow(
    agent: Agent, served: ServedTarget, packet: Forward, now: float
) -> None:
    """Refuse the request of a new flow that no target can admit."""
    agent.actions.count("refused", served.service.name, "no-room")
    if served.adapter is None:
        return
    message = served.adapter.read_caller(packet.payload)
    if message.kind is not Kind.REQUEST:
        return
    seconds = REFUSED_FLOW_RETRY_AFTER_S + agent.generator.randrange(
        REFUSED_FLOW_RETRY_AFTER_S
    )
    refusal = served.adapter.write_refusal(reply_to(message), seconds, None)
    flow = flow_of(packet)
    datagram = _make_refusal(served, flow, message, refusal, now)
    answer = make_answer(served, flow, datagram)
    agent.actions.send(Address(packet.balancer_ip, packet.balancer_port), answer)


def _make_refusal(
    served: ServedTarget,
    flow: FlowKey,
    message: CallerMessage,
    refusal: bytes,
    now: float,
) -> bytes:
    """Return `refusal` if the request has not run and never will.

    Otherwise return its outcome, since a copy of the request with the same
    ticket may have run.
    """
    if message.repeatable or message.ticket is None:
        return refusal
    decision = served.ticket_registry.decide(message.ticket, flow, message.digest, now)
    if decision.action is TicketAction.RUN:
        served.ticket_registry.begin(message.ticket, message.digest, now)
        served.ticket_registry.finish(message.ticket, refusal, now)
        return refusal
    if decision.action is TicketAction.CHALLENGE:
        return refusal
    if decision.outcome:
        return served.adapter.write_response(decision.outcome, reply_to(message), None)
    return served.adapter.write_unknown(reply_to(message))
