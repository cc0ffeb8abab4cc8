"""Requests: admission, at most one run, and one final answer each."""

from math import ceil

from lycheeglade.address import Address
from lycheeglade.admission import Load, Queued, Refused, Start
from lycheeglade.agent_state import (
    Agent,
    answer_caller,
    send_packet,
    suspected_targets,
)
from lycheeglade.message import CallerMessage, Kind, ReplyTo, UpstreamMessage
from lycheeglade.packet import Delegate, DelegateReply
from lycheeglade.served_target import (
    FlowRecord,
    Request,
    RequestState,
    ServedTarget,
)
from lycheeglade.ticket import Judgement
from lycheeglade.upstream_health import send_upstream
from lycheeglade.view import State, Target

UPSTREAM_TOKEN_BYTES = 8
MAX_REQUESTS_PER_FLOW = 64
MIN_RETRY_AFTER_S = 1
FULL_BOOK_RETRY_AFTER_S = 5.0
MIN_DELEGATE_PATIENCE_S = 0.5
DELEGATE_PATIENCE = 10.0


def reply_to(message: CallerMessage) -> ReplyTo:
    """Return where the response to `message` belongs."""
    return ReplyTo(message.message_id, message.token, message.reliable)


def take_upstream_token(agent: Agent) -> bytes:
    """Return a token that this process has not used towards upstreams."""
    return agent.next_number().to_bytes(UPSTREAM_TOKEN_BYTES, "big")


def serve_request(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    message: CallerMessage,
    now: float,
) -> None:
    """Run, queue, delegate, refuse or answer a request of a flow."""
    running = record.requests_by_message_id.get(message.message_id)
    if running is not None and running.message.token == message.token:
        agent.actions.count("duplicate", served.service.name, "in-progress")
        return
    if len(record.requests_by_message_id) >= MAX_REQUESTS_PER_FLOW:
        _refuse(agent, served, record, [reply_to(message)], "flow-limit", 1.0, now)
        return
    if not message.repeatable and not _may_run(agent, served, record, message, now):
        return
    request = Request(
        request_id=agent.next_number(),
        flow=record.flow,
        message=message,
        reply_tos=[reply_to(message)],
        received_at=now,
        deadline=now + served.service.request_timeout,
        ticket=None if message.repeatable else message.ticket,
    )
    _offer(agent, served, record, request, now)


def _may_run(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    message: CallerMessage,
    now: float,
) -> bool:
    """Judge the ticket of a request; answer it unless it may run now."""
    adapter = served.adapter
    verdict = served.book.judge(message.ticket, record.flow, message.digest, now)
    reply = reply_to(message)
    if verdict.judgement is Judgement.RUN:
        return True
    agent.actions.count("ticket", served.service.name, verdict.judgement.value)
    if verdict.judgement is Judgement.REPLAY:
        if verdict.outcome:
            datagram = adapter.write_response(
                verdict.outcome, reply, served.book.mint(record.flow, now)
            )
        else:
            datagram = adapter.write_unknown(reply)
        answer_caller(agent, served, record, datagram)
    elif verdict.judgement is Judgement.UNKNOWN:
        answer_caller(agent, served, record, adapter.write_unknown(reply))
    elif verdict.judgement is Judgement.RUNNING:
        _join_running(served, record, message)
    else:
        ticket = served.book.mint(record.flow, now)
        if ticket is None:
            _refuse(
                agent,
                served,
                record,
                [reply],
                "ticket-memory",
                FULL_BOOK_RETRY_AFTER_S,
                now,
            )
        else:
            answer_caller(agent, served, record, adapter.write_challenge(reply, ticket))
    return False


def _join_running(
    served: ServedTarget, record: FlowRecord, message: CallerMessage
) -> None:
    """Let another copy of a running request wait for its answer."""
    for request in record.requests_by_message_id.values():
        if request.ticket == message.ticket:
            reply = reply_to(message)
            if reply not in request.reply_tos:
                request.reply_tos = [*request.reply_tos[-3:], reply]
            return


def _offer(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    request: Request,
    now: float,
) -> None:
    """Start or queue a request here, hand it to a peer, or refuse it."""
    load = served.admission.load(now)
    peer = _pick_peer(agent, served, request, load)
    if peer is not None:
        _admit(served, record, request, now)
        _delegate(agent, served, request, peer, now)
        return
    if served.is_down:
        _refuse(agent, served, record, request.reply_tos, "upstream-down", 1.0, now)
        return
    result = served.admission.offer(request.request_id, now, request.deadline)
    if isinstance(result, Refused):
        _refuse(
            agent,
            served,
            record,
            request.reply_tos,
            result.cause,
            result.retry_after,
            now,
        )
        return
    _admit(served, record, request, now)
    if isinstance(result, Start):
        start_request(agent, served, request, now)
    elif isinstance(result, Queued):
        request.state = RequestState.QUEUED


def _admit(
    served: ServedTarget, record: FlowRecord, request: Request, now: float
) -> None:
    """Enter a request into the tables. Its ticket counts as used."""
    if request.request_id in served.requests_by_id:
        return
    served.requests_by_id[request.request_id] = request
    record.requests_by_message_id[request.message.message_id] = request
    if request.ticket is not None:
        served.book.begin(request.ticket, request.message.digest, now)


def start_request(
    agent: Agent, served: ServedTarget, request: Request, now: float
) -> None:
    """Hand a request to the upstream, once."""
    request.state = RequestState.RUNNING
    request.started_at = now
    token = take_upstream_token(agent)
    served.requests_by_upstream_token[token] = request
    agent.actions.record(
        served.service.name, _work(request), "queue", now - request.received_at
    )
    datagram = served.adapter.write_request(
        request.message.datagram, agent.next_number() % (1 << 16), token
    )
    send_upstream(agent, served, datagram, now)
    agent.timers.call_at(
        request.deadline,
        lambda now: _expire_running(agent, served, token, request, now),
    )


def start_queued(agent: Agent, served: ServedTarget, now: float) -> None:
    """Start the queued requests that there is room for."""
    for request_id in served.admission.start_next(now):
        request = served.requests_by_id.get(request_id)
        if request is None:
            served.admission.cancel(request_id, now)
        else:
            start_request(agent, served, request, now)


def receive_response(
    agent: Agent, served: ServedTarget, message: UpstreamMessage, now: float
) -> bool:
    """Finish the request that an upstream's response belongs to.

    Returns
    -------
    bool
        False if no request waits for the response.
    """
    request = served.requests_by_upstream_token.pop(message.token, None)
    if request is None:
        return False
    served.admission.finish(
        request.request_id, now, failed=message.failed and not message.refused
    )
    agent.actions.record(
        served.service.name, _work(request), "upstream", now - request.started_at
    )
    if request.flow is None:
        _return_delegated(agent, served, request, message)
    elif message.refused:
        _hand_back(agent, served, request, now)
    else:
        finish_request(agent, served, request, message.datagram, now)
    start_queued(agent, served, now)
    return True


def finish_request(
    agent: Agent, served: ServedTarget, request: Request, response: bytes, now: float
) -> None:
    """Send the final answer; an empty `response` means an unknown outcome."""
    _forget(served, request)
    _burn_ticket(served, request, response, now)
    record = served.records_by_flow.get(request.flow)
    if record is None:
        agent.actions.count("answer-dropped", served.service.name, "flow-gone")
        return
    outcome = "answered" if response else "unknown"
    agent.actions.count("request", served.service.name, outcome)
    agent.actions.record(
        served.service.name, _work(request), "whole", now - request.received_at
    )
    for reply in request.reply_tos:
        if response:
            ticket = served.book.mint(record.flow, now)
            datagram = served.adapter.write_response(response, reply, ticket)
        else:
            datagram = served.adapter.write_unknown(reply)
        answer_caller(agent, served, record, datagram)


def _burn_ticket(
    served: ServedTarget, request: Request, outcome: bytes, now: float
) -> None:
    if request.ticket is not None:
        served.book.finish(request.ticket, outcome, now)


def _forget(served: ServedTarget, request: Request) -> None:
    served.requests_by_id.pop(request.request_id, None)
    record = served.records_by_flow.get(request.flow)
    if record is not None:
        known = record.requests_by_message_id.get(request.message.message_id)
        if known is request:
            del record.requests_by_message_id[request.message.message_id]


def _hand_back(
    agent: Agent, served: ServedTarget, request: Request, now: float
) -> None:
    """Answer a request that the upstream refused to run."""
    _refuse_admitted(agent, served, request, "upstream-shed", 1.0, now)


def _refuse_admitted(
    agent: Agent,
    served: ServedTarget,
    request: Request,
    cause: str,
    retry_after: float,
    now: float,
) -> None:
    """Refuse a request that was entered and certainly did not run."""
    _forget(served, request)
    refusal = served.adapter.write_refusal(
        reply_to(request.message), _whole_seconds(retry_after), None
    )
    _burn_ticket(served, request, refusal, now)
    record = served.records_by_flow.get(request.flow)
    if record is not None:
        _refuse(agent, served, record, request.reply_tos, cause, retry_after, now)


def _refuse(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    replies: list[ReplyTo],
    cause: str,
    retry_after: float,
    now: float,
) -> None:
    """Tell the caller that the request was not run."""
    agent.actions.count("refused", served.service.name, cause)
    seconds = _whole_seconds(retry_after)
    ticket = served.book.mint(record.flow, now)
    for reply in replies:
        datagram = served.adapter.write_refusal(reply, seconds, ticket)
        answer_caller(agent, served, record, datagram)


def _expire_running(
    agent: Agent, served: ServedTarget, token: bytes, request: Request, now: float
) -> None:
    """Give up a request that the upstream did not answer by its deadline."""
    if served.requests_by_upstream_token.get(token) is not request:
        return
    del served.requests_by_upstream_token[token]
    served.admission.finish(request.request_id, now, failed=True)
    agent.actions.count("upstream-late", served.service.name, _work(request))
    if request.flow is None:
        _forget(served, request)
    else:
        finish_request(agent, served, request, b"", now)
    start_queued(agent, served, now)


def expire_queued(agent: Agent, served: ServedTarget, now: float) -> None:
    """Refuse the queued requests that can't be served by their deadline."""
    for request_id in served.admission.expire(now):
        request = served.requests_by_id.get(request_id)
        if request is not None:
            _refuse_admitted(agent, served, request, "deadline", 1.0, now)


def refuse_queued(agent: Agent, served: ServedTarget, now: float) -> None:
    """Give back all requests that wait for an upstream that is down."""
    for request in list(served.requests_by_id.values()):
        if request.state is RequestState.QUEUED:
            served.admission.cancel(request.request_id, now)
            _refuse_admitted(agent, served, request, "upstream-down", 1.0, now)


def fail_upstream(agent: Agent, served: ServedTarget, now: float) -> None:
    """Give up all running requests after the upstream has gone."""
    running = list(served.requests_by_upstream_token.items())
    served.requests_by_upstream_token.clear()
    for _, request in running:
        served.admission.finish(request.request_id, now, failed=True)
        if request.flow is None:
            _forget(served, request)
        else:
            finish_request(agent, served, request, b"", now)


def _whole_seconds(retry_after: float) -> int:
    return max(MIN_RETRY_AFTER_S, ceil(retry_after))


def _work(request: Request) -> str:
    return "repeatable" if request.message.repeatable else "not-repeatable"


def _pick_peer(
    agent: Agent, served: ServedTarget, request: Request, load: Load
) -> Target | None:
    """Return a peer that may have a free slot sooner than this target.

    A datagram may arrive twice, so only repeatable requests are delegated.
    """
    is_free = load.running < load.limit and not served.is_down
    if not request.message.repeatable or is_free:
        return None
    suspected = suspected_targets(agent, served.service)
    peers = [
        target
        for target in served.service.targets_by_id.values()
        if target.target_id != served.target.target_id
        and target.state is State.LIVE
        and target.target_id not in suspected
    ]
    return agent.generator.choice(peers) if peers else None


def _delegate(
    agent: Agent, served: ServedTarget, request: Request, peer: Target, now: float
) -> None:
    """Ask `peer` to run a request at once, or to give it back."""
    request.state = RequestState.DELEGATED
    agent.actions.count("delegated", served.service.name, _work(request))
    packet = Delegate(
        served.service.name,
        peer.target_id,
        served.target.target_id,
        request.request_id,
        request.message.repeatable,
        request.message.datagram,
    )
    send_packet(agent, peer.agent, packet, now)
    patience = max(
        MIN_DELEGATE_PATIENCE_S,
        DELEGATE_PATIENCE * served.admission.load(now).service_time,
    )
    agent.timers.call_at(
        min(request.deadline, now + patience),
        lambda now: _expire_delegated(agent, served, request, now),
    )


def _expire_delegated(
    agent: Agent, served: ServedTarget, request: Request, now: float
) -> None:
    """Run a request here whose peer stays silent; it may run twice."""
    if (
        request.state is not RequestState.DELEGATED
        or served.requests_by_id.get(request.request_id) is not request
    ):
        return
    if now >= request.deadline or served.is_down:
        finish_request(agent, served, request, b"", now)
    else:
        _offer_returned(agent, served, request, now)


def receive_delegate(
    agent: Agent, served: ServedTarget, packet: Delegate, source: Address, now: float
) -> None:
    """Run a peer's request if a slot is free, else give it back untouched."""
    load = served.admission.load(now)
    message = served.adapter.read_caller(packet.payload)
    is_free = load.free_slots > 0 and not served.must_move
    if not is_free or message.kind is not Kind.REQUEST:
        _reply_delegate(agent, packet.service, packet, source, ran=False)
        return
    request = Request(
        request_id=agent.next_number(),
        flow=None,
        message=message,
        reply_tos=[],
        received_at=now,
        deadline=now + served.service.request_timeout,
        delegated_by=(source, packet),
    )
    result = served.admission.offer(request.request_id, now, request.deadline)
    if isinstance(result, Start):
        served.requests_by_id[request.request_id] = request
        start_request(agent, served, request, now)
        return
    if isinstance(result, Queued):
        served.admission.cancel(request.request_id, now)
    _reply_delegate(agent, packet.service, packet, source, ran=False)


def _reply_delegate(
    agent: Agent,
    service: str,
    packet: Delegate,
    source: Address,
    *,
    ran: bool,
    payload: bytes = b"",
) -> None:
    agent.actions.send(
        source,
        DelegateReply(service, packet.home_target_id, packet.request_id, ran, payload),
    )


def _return_delegated(
    agent: Agent, served: ServedTarget, request: Request, message: UpstreamMessage
) -> None:
    """Send the upstream's response to the request's home."""
    _forget(served, request)
    source, packet = request.delegated_by
    _reply_delegate(
        agent,
        served.service.name,
        packet,
        source,
        ran=not message.refused,
        payload=b"" if message.refused else message.datagram,
    )


def receive_delegate_reply(
    agent: Agent, served: ServedTarget, packet: DelegateReply, now: float
) -> None:
    """Finish a delegated request, or run it here if it came back untouched."""
    request = served.requests_by_id.get(packet.request_id)
    if request is None or request.state is not RequestState.DELEGATED:
        agent.actions.count("answer-dropped", served.service.name, "late-delegate")
        return
    record = served.records_by_flow.get(request.flow)
    if packet.ran:
        finish_request(agent, served, request, packet.payload, now)
    elif record is not None:
        _offer_returned(agent, served, request, now)
    else:
        _forget(served, request)


def _offer_returned(
    agent: Agent, served: ServedTarget, request: Request, now: float
) -> None:
    """Queue a request here that a peer gave back untouched."""
    result = served.admission.offer(request.request_id, now, request.deadline)
    if isinstance(result, Start):
        start_request(agent, served, request, now)
    elif isinstance(result, Queued):
        request.state = RequestState.QUEUED
    else:
        _refuse_admitted(agent, served, request, result.cause, result.retry_after, now)
