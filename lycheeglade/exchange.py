"""Requests in progress: each runs at most once and gets one final answer."""

from math import ceil

from lycheeglade.address import Address
from lycheeglade.agent_state import Agent, answer_caller
from lycheeglade.message import CallerMessage, ReplyTo, UpstreamMessage
from lycheeglade.packet import Delegate, DelegateReply
from lycheeglade.served_target import (
    MESSAGE_ID_MODULUS,
    FlowRecord,
    Request,
    RequestState,
    ServedTarget,
)
from lycheeglade.upstream_health import send_upstream

UPSTREAM_TOKEN_BYTES = 8
MIN_RETRY_AFTER_S = 1


def reply_to(message: CallerMessage) -> ReplyTo:
    """Return the identifiers with which to answer `message`."""
    return ReplyTo(message.message_id, message.token, message.reliable)


def allocate_upstream_token(agent: Agent) -> bytes:
    """Return a token that this process has not yet sent to an upstream."""
    return agent.next_id().to_bytes(UPSTREAM_TOKEN_BYTES, "big")


def admit_request(
    served: ServedTarget, record: FlowRecord, request: Request, now: float
) -> None:
    """Add a request to the tables and mark its ticket as used."""
    if request.request_id in served.requests_by_id:
        return
    served.requests_by_id[request.request_id] = request
    record.requests_by_message_id[request.message.message_id] = request
    if request.ticket is not None:
        served.ticket_registry.begin(request.ticket, request.message.digest, now)


def start_request(
    agent: Agent, served: ServedTarget, request: Request, now: float
) -> None:
    """Send a request to the upstream once, without retransmission."""
    request.state = RequestState.RUNNING
    request.started_at = now
    token = allocate_upstream_token(agent)
    served.requests_by_upstream_token[token] = request
    record_run(served, request)
    agent.actions.record(
        served.service.name, work_class(request), "queue", now - request.received_at
    )
    datagram = served.adapter.write_request(
        request.message.datagram, agent.next_id() % MESSAGE_ID_MODULUS, token
    )
    send_upstream(agent, served, datagram, now)
    agent.timers.call_at(
        request.deadline,
        lambda now: _expire_running(agent, served, token, request, now),
    )


def start_queued(agent: Agent, served: ServedTarget, now: float) -> None:
    """Start queued requests in the free slots."""
    for request_id in served.admission.start_next(now):
        request = served.requests_by_id.get(request_id)
        if request is None:
            served.admission.cancel(request_id, now)
        else:
            start_request(agent, served, request, now)


def receive_response(
    agent: Agent, served: ServedTarget, message: UpstreamMessage, now: float
) -> bool:
    """Finish the request that an upstream's response answers.

    Returns
    -------
    bool
        False if the response matches no running request.
    """
    request = served.requests_by_upstream_token.pop(message.token, None)
    if request is None:
        return False
    served.admission.finish(
        request.request_id, now, failed=message.failed and not message.refused
    )
    agent.actions.record(
        served.service.name, work_class(request), "upstream", now - request.started_at
    )
    if request.flow is None:
        _return_delegated(agent, served, request, message, now)
    elif message.refused:
        discard_run(served, request)
        refuse_admitted(agent, served, request, "upstream-shed", 1.0, now)
    else:
        finish_request(agent, served, request, message.datagram, now)
    start_queued(agent, served, now)
    return True


def finish_request(
    agent: Agent, served: ServedTarget, request: Request, response: bytes, now: float
) -> None:
    """Send the final answer to the caller.

    An empty `response` means that the outcome is unknown.
    """
    forget_request(served, request)
    _store_outcome(served, request, response, now)
    record = served.records_by_flow.get(request.flow)
    if record is None:
        agent.actions.count("answer-dropped", served.service.name, "flow-gone")
        return
    outcome = "answered" if response else "unknown"
    agent.actions.count("request", served.service.name, outcome)
    agent.actions.record(
        served.service.name, work_class(request), "whole", now - request.received_at
    )
    for reply in request.pending_replies:
        if response:
            ticket = served.ticket_registry.issue(record.flow, now)
            datagram = served.adapter.write_response(response, reply, ticket)
        else:
            datagram = served.adapter.write_unknown(reply)
        answer_caller(agent, served, record, datagram)


def _store_outcome(
    served: ServedTarget, request: Request, outcome: bytes, now: float
) -> None:
    if request.ticket is not None:
        served.ticket_registry.finish(request.ticket, outcome, now)


def forget_request(served: ServedTarget, request: Request) -> None:
    """Remove a request from the tables."""
    served.requests_by_id.pop(request.request_id, None)
    served.requests_by_delegation_id.pop(request.delegation_id, None)
    record = served.records_by_flow.get(request.flow)
    if record is not None:
        known = record.requests_by_message_id.get(request.message.message_id)
        if known is request:
            del record.requests_by_message_id[request.message.message_id]


def refuse_admitted(
    agent: Agent,
    served: ServedTarget,
    request: Request,
    cause: str,
    retry_after: float,
    now: float,
) -> None:
    """Refuse a request that is in the tables.

    If the request or a copy of it may have run, the answer doesn't claim that
    it was not run.
    """
    record = served.records_by_flow.get(request.flow)
    if record is not None and request.message.message_id in record.executed_message_ids:
        _answer_possible_run(agent, served, record, request, cause, retry_after, now)
        return
    forget_request(served, request)
    refusal = served.adapter.write_refusal(
        reply_to(request.message), _round_up_seconds(retry_after), None
    )
    _store_outcome(served, request, refusal, now)
    if record is not None:
        refuse(agent, served, record, request.pending_replies, cause, retry_after, now)


def _answer_possible_run(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    request: Request,
    cause: str,
    retry_after: float,
    now: float,
) -> None:
    """Answer a request that may have run already and can't run again now."""
    if not request.message.repeatable:
        finish_request(agent, served, request, b"", now)
        return
    forget_request(served, request)
    agent.actions.count("turned-away", served.service.name, cause)
    datagram = served.adapter.write_overload(
        request.message.datagram, _round_up_seconds(retry_after)
    )
    answer_caller(agent, served, record, datagram)


def record_run(served: ServedTarget, request: Request) -> None:
    """Record that a flow's request may have run.

    Later copies of the request are then not answered as not run.
    """
    record = served.records_by_flow.get(request.flow)
    if record is not None:
        record.executed_message_ids.append(request.message.message_id)


def discard_run(served: ServedTarget, request: Request) -> None:
    """Remove the record of a run after the upstream refused the request."""
    record = served.records_by_flow.get(request.flow)
    message_id = request.message.message_id
    if record is not None and message_id in record.executed_message_ids:
        record.executed_message_ids.remove(message_id)


def refuse(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    replies: list[ReplyTo],
    cause: str,
    retry_after: float,
    now: float,
) -> None:
    """Answer the caller that the request was not run."""
    agent.actions.count("refused", served.service.name, cause)
    seconds = _round_up_seconds(retry_after)
    ticket = served.ticket_registry.issue(record.flow, now)
    for reply in replies:
        datagram = served.adapter.write_refusal(reply, seconds, ticket)
        answer_caller(agent, served, record, datagram)


def _expire_running(
    agent: Agent, served: ServedTarget, token: bytes, request: Request, now: float
) -> None:
    """Abandon a request that the upstream did not answer by its deadline."""
    if served.requests_by_upstream_token.get(token) is not request:
        return
    del served.requests_by_upstream_token[token]
    served.admission.finish(request.request_id, now, failed=True)
    agent.actions.count("upstream-late", served.service.name, work_class(request))
    if request.flow is None:
        forget_request(served, request)
    else:
        finish_request(agent, served, request, b"", now)
    start_queued(agent, served, now)


def expire_queued_requests(agent: Agent, served: ServedTarget, now: float) -> None:
    """Refuse the queued requests that can't be served by their deadline."""
    for request_id in served.admission.expire(now):
        request = served.requests_by_id.get(request_id)
        if request is not None:
            refuse_admitted(agent, served, request, "deadline", 1.0, now)


def refuse_queued_requests(agent: Agent, served: ServedTarget, now: float) -> None:
    """Refuse all queued requests of a target whose upstream is down."""
    for request in list(served.requests_by_id.values()):
        if request.state is RequestState.QUEUED:
            served.admission.cancel(request.request_id, now)
            refuse_admitted(agent, served, request, "upstream-down", 1.0, now)


def end_running_requests(agent: Agent, served: ServedTarget, now: float) -> None:
    """Abandon all running requests after the upstream went down."""
    running = list(served.requests_by_upstream_token.items())
    served.requests_by_upstream_token.clear()
    for _, request in running:
        served.admission.finish(request.request_id, now, failed=True)
        if request.flow is None:
            forget_request(served, request)
        else:
            finish_request(agent, served, request, b"", now)


def _round_up_seconds(retry_after: float) -> int:
    return max(MIN_RETRY_AFTER_S, ceil(retry_after))


def work_class(request: Request) -> str:
    """Return the request's class of work, which is a metric label."""
    return "repeatable" if request.message.repeatable else "not-repeatable"


def send_delegate_reply(
    agent: Agent,
    served: ServedTarget,
    packet: Delegate,
    source: Address,
    now: float,
    *,
    ran: bool,
    payload: bytes = b"",
) -> None:
    """Answer a delegated request, with the response as payload if it ran."""
    reply = DelegateReply(
        served.service.name,
        packet.home_target_id,
        served.target.target_id,
        packet.delegation_id,
        ran,
        payload,
        served.admission.load(now).busy,
        agent.incarnation,
    )
    agent.actions.send(source, reply)


def _return_delegated(
    agent: Agent,
    served: ServedTarget,
    request: Request,
    message: UpstreamMessage,
    now: float,
) -> None:
    """Send the upstream's response to the home of a delegated request."""
    forget_request(served, request)
    source, packet = request.delegation
    payload = b"" if message.refused else message.datagram
    send_delegate_reply(
        agent, served, packet, source, now, ran=not message.refused, payload=payload
    )
