"""Intake of requests.

Duplicates, tickets and the limit per flow are checked before placement.
"""

from lycheeglade.agent_state import Agent, answer_caller
from lycheeglade.delegation import offer_request
from lycheeglade.exchange import admit_request, refuse, refuse_admitted, reply_to
from lycheeglade.message import CallerMessage
from lycheeglade.served_target import FlowRecord, Request, ServedTarget
from lycheeglade.ticket import TicketAction

MAX_REQUESTS_PER_FLOW = 64
REGISTRY_FULL_RETRY_AFTER_S = 5.0


def serve_request(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    message: CallerMessage,
    now: float,
) -> None:
    """Run, queue, delegate, refuse or answer a request of a known flow."""
    running = record.requests_by_message_id.get(message.message_id)
    if running is not None and running.message.token == message.token:
        agent.actions.count("duplicate", served.service.name, "in-progress")
        return
    if not message.repeatable and not _may_run(agent, served, record, message, now):
        return
    request = Request(
        request_id=agent.next_id(),
        flow=record.flow,
        message=message,
        pending_replies=[reply_to(message)],
        received_at=now,
        deadline=now + served.service.request_timeout,
        ticket=None if message.repeatable else message.ticket,
    )
    if len(record.requests_by_message_id) >= MAX_REQUESTS_PER_FLOW:
        admit_request(served, record, request, now)
        refuse_admitted(agent, served, request, "flow-limit", 1.0, now)
        return
    offer_request(agent, served, record, request, now)


def _may_run(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    message: CallerMessage,
    now: float,
) -> bool:
    """Check the ticket of a request and answer it unless it may run now.

    Returns
    -------
    bool
        Whether the request may run now.
    """
    adapter = served.adapter
    decision = served.ticket_registry.decide(
        message.ticket, record.flow, message.digest, now
    )
    reply = reply_to(message)
    if decision.action is TicketAction.RUN:
        return True
    agent.actions.count("ticket", served.service.name, decision.action.value)
    if decision.action is TicketAction.REPLAY:
        if decision.outcome:
            datagram = adapter.write_response(
                decision.outcome, reply, served.ticket_registry.issue(record.flow, now)
            )
        else:
            datagram = adapter.write_unknown(reply)
        answer_caller(agent, served, record, datagram)
    elif decision.action is TicketAction.UNKNOWN:
        answer_caller(agent, served, record, adapter.write_unknown(reply))
    elif decision.action is TicketAction.RUNNING:
        _add_pending_reply(served, record, message)
    else:
        ticket = served.ticket_registry.issue(record.flow, now)
        if ticket is None:
            refuse(
                agent,
                served,
                record,
                [reply],
                "ticket-memory",
                REGISTRY_FULL_RETRY_AFTER_S,
                now,
            )
        else:
            answer_caller(agent, served, record, adapter.write_challenge(reply, ticket))
    return False


def _add_pending_reply(
    served: ServedTarget, record: FlowRecord, message: CallerMessage
) -> None:
    """Add a copy of a running request to those that get its answer."""
    for request in record.requests_by_message_id.values():
        if request.ticket == message.ticket:
            reply = reply_to(message)
            if reply not in request.pending_replies:
                request.pending_replies = [*request.pending_replies[-3:], reply]
            return
