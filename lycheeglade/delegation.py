"""Placement of requests: run here, queued here, or delegated to a peer."""

from dataclasses import replace

from lycheeglade.address import Address
from lycheeglade.admission import Load, Queued, Refused, Start
from lycheeglade.agent_state import Agent, send_packet, suspected_targets
from lycheeglade.exchange import (
    admit_request,
    finish_request,
    forget_request,
    record_run,
    refuse_admitted,
    send_delegate_reply,
    start_request,
    work_class,
)
from lycheeglade.message import Kind
from lycheeglade.packet import Delegate, DelegateReply
from lycheeglade.placement import (
    MAX_DELEGATIONS,
    REOFFER_INTERVAL_S,
    DelegateTo,
    accept_delegated,
    place_request,
)
from lycheeglade.served_target import (
    FlowRecord,
    Request,
    RequestState,
    ServedTarget,
)
from lycheeglade.view import State, Target

MIN_REPLY_TIMEOUT_S = 0.5
REPLY_TIMEOUT_SERVICE_TIMES = 10.0
MIN_SEEN_DELEGATIONS = 8_192
MAX_SEEN_DELEGATIONS = 32_768
SEEN_DELEGATION_LIFETIME_S = 600.0
FAIL_AFTER_DOWN_S = 1.5


def offer_request(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    request: Request,
    now: float,
) -> None:
    """Start, queue, delegate or refuse a new request."""
    served.delegation_budget.record_attempt()
    if _delegate_if_better(agent, served, record, request, now):
        return
    # The request is admitted, which uses its ticket, before it is refused: a
    # late copy must not run after the caller got the answer "not run".
    if served.is_down:
        admit_request(served, record, request, now)
        refuse_admitted(agent, served, request, "upstream-down", 1.0, now)
        return
    result = served.admission.offer(request.request_id, now, request.deadline)
    admit_request(served, record, request, now)
    if isinstance(result, Refused):
        refuse_admitted(agent, served, request, result.cause, result.retry_after, now)
    elif isinstance(result, Start):
        start_request(agent, served, request, now)


def _delegate_if_better(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    request: Request,
    now: float,
) -> bool:
    load = _own_load(served, now)
    placement = place_request(
        load,
        _eligible_peer_ids(agent, served, request),
        served.peer_loads,
        len(request.tried_peers),
        now,
        agent.generator,
    )
    if (
        not isinstance(placement, DelegateTo)
        or not served.delegation_budget.try_acquire()
    ):
        return False
    admit_request(served, record, request, now)
    peer = served.service.targets_by_id[placement.target_id]
    _delegate(agent, served, request, peer, load, now)
    return True


def reoffer_oldest_queued(agent: Agent, served: ServedTarget, now: float) -> None:
    """Offer the oldest queued request to peers again.

    Offers are at least `REOFFER_INTERVAL_S` apart.
    """
    request_id = served.admission.next_queued()
    request = served.requests_by_id.get(request_id)
    if request is None or now < served.next_reoffer_at:
        return
    served.next_reoffer_at = now + REOFFER_INTERVAL_S
    record = served.records_by_flow.get(request.flow)
    if record is None:
        return
    served.admission.cancel(request_id, now)
    request.tried_peers = request.tried_peers[1 - MAX_DELEGATIONS :]
    if not _delegate_if_better(agent, served, record, request, now):
        _offer_returned(agent, served, request, now)


def delegate_running_requests(agent: Agent, served: ServedTarget, now: float) -> None:
    """Delegate the repeatable requests that a failed upstream holds.

    Requests that may not be repeated stay until their deadline, since the
    upstream may only be slow.
    """
    for token, request in list(served.requests_by_upstream_token.items()):
        record = served.records_by_flow.get(request.flow)
        if record is None or not request.message.repeatable:
            continue
        del served.requests_by_upstream_token[token]
        served.admission.finish(request.request_id, now, failed=True)
        if not _delegate_if_better(agent, served, record, request, now):
            finish_request(agent, served, request, b"", now)


def fail_stuck_requests(agent: Agent, served: ServedTarget, now: float) -> None:
    """Finish requests that are unlikely to be answered, as unknown.

    When the upstream has been down for `FAIL_AFTER_DOWN_S`, these are the
    requests that it holds and those delegated to a suspected peer. A flow
    can't move while a request is in progress, so a feed of the same flow
    would otherwise be silent until the request's deadline.
    """
    if not served.is_down or now - served.down_since < FAIL_AFTER_DOWN_S:
        return
    suspected = suspected_targets(agent, served.service)
    for token, request in list(served.requests_by_upstream_token.items()):
        if request.flow is not None:
            del served.requests_by_upstream_token[token]
            served.admission.finish(request.request_id, now, failed=True)
            _fail_request(agent, served, request, now)
    for request in list(served.requests_by_delegation_id.values()):
        if request.tried_peers[-1] in suspected:
            record_run(served, request)
            _fail_request(agent, served, request, now)


def _fail_request(
    agent: Agent, served: ServedTarget, request: Request, now: float
) -> None:
    agent.actions.count("request", served.service.name, "given-up")
    finish_request(agent, served, request, b"", now)


def _own_load(served: ServedTarget, now: float) -> Load:
    """Return the target's load, as draining while its flows must move."""
    load = served.admission.load(now)
    return replace(load, draining=True) if served.must_move else load


def _eligible_peer_ids(
    agent: Agent, served: ServedTarget, request: Request
) -> list[str]:
    """Return the peers that the request may be delegated to.

    A request that may not be repeated is delegated only to a peer whose
    incarnation is known, so that a copy of the packet can't run the request
    after a restart of the peer.
    """
    suspected = suspected_targets(agent, served.service)
    return [
        target.target_id
        for target in served.service.targets_by_id.values()
        if target.target_id != served.target.target_id
        and target.state is State.LIVE
        and served.service.permits(target.zone)
        and target.target_id not in suspected
        and target.target_id not in request.tried_peers
        and (
            request.message.repeatable
            or target.target_id in served.incarnations_by_peer
        )
    ]


def _delegate(
    agent: Agent,
    served: ServedTarget,
    request: Request,
    peer: Target,
    load: Load,
    now: float,
) -> None:
    """Ask `peer` to run a request at once or to return it."""
    request.tried_peers.append(peer.target_id)
    served.requests_by_delegation_id.pop(request.delegation_id, None)
    request.delegation_id = agent.next_id()
    delegation_id = request.delegation_id
    served.requests_by_delegation_id[delegation_id] = request
    request.state = RequestState.DELEGATED
    agent.actions.count("delegated", served.service.name, work_class(request))
    packet = Delegate(
        served.service.name,
        peer.target_id,
        served.target.target_id,
        request.delegation_id,
        served.incarnations_by_peer.get(peer.target_id, 0),
        load.busy,
        load.free_slots == 0,
        request.message.datagram,
    )
    send_packet(agent, peer.agent, packet, now)
    reply_timeout = max(
        MIN_REPLY_TIMEOUT_S, REPLY_TIMEOUT_SERVICE_TIMES * load.service_time
    )
    if not request.message.repeatable:
        reply_timeout = served.service.request_timeout
    agent.timers.call_at(
        min(request.deadline, now + reply_timeout),
        lambda now: _expire_delegated(agent, served, request, delegation_id, now),
    )


def _expire_delegated(
    agent: Agent,
    served: ServedTarget,
    request: Request,
    delegation_id: int,
    now: float,
) -> None:
    """Handle the time-out of a delegated request.

    Only a repeatable request is run here instead, since the peer may have run
    the request.
    """
    if served.requests_by_delegation_id.pop(delegation_id, None) is None:
        return
    if request.request_id not in served.requests_by_id:
        return
    record_run(served, request)
    may_run_here = request.message.repeatable and now < request.deadline
    if may_run_here and not served.is_down:
        _offer_returned(agent, served, request, now)
    else:
        finish_request(agent, served, request, b"", now)


def receive_delegate(
    agent: Agent, served: ServedTarget, packet: Delegate, source: Address, now: float
) -> None:
    """Run a request of a peer if a slot is free, else return it unrun."""
    served.peer_loads.record(packet.home_target_id, packet.home_busy, now)
    message = served.adapter.read_caller(packet.payload)
    if message.kind is not Kind.REQUEST:
        agent.actions.count("dropped", served.service.name, "wrong-kind")
        return
    if not message.repeatable and _is_copy(served, packet):
        agent.actions.count("dropped", served.service.name, "delegate-copy")
        return
    may_run = message.repeatable or _record_delegation(agent, served, packet, now)
    load = _own_load(served, now)
    if may_run and accept_delegated(load, packet.home_busy, packet.home_is_full):
        request = Request(
            request_id=agent.next_id(),
            flow=None,
            message=message,
            pending_replies=[],
            received_at=now,
            deadline=now + served.service.request_timeout,
            delegation=(source, packet),
        )
        result = served.admission.offer(request.request_id, now, request.deadline)
        if isinstance(result, Start):
            served.requests_by_id[request.request_id] = request
            start_request(agent, served, request, now)
            return
        if isinstance(result, Queued):
            served.admission.cancel(request.request_id, now)
    send_delegate_reply(agent, served, packet, source, now, ran=False)


def _is_copy(served: ServedTarget, packet: Delegate) -> bool:
    return (packet.home_target_id, packet.delegation_id) in served.seen_delegations


def _record_delegation(
    agent: Agent, served: ServedTarget, packet: Delegate, now: float
) -> bool:
    """Record a delegated request that may not be repeated.

    Returns
    -------
    bool
        Whether the request may run. The delegation must name this incarnation
        of the agent, and there must be room to remember it for as long as the
        network may hold a copy of the datagram.
    """
    seen = served.seen_delegations
    # `MIN_SEEN_DELEGATIONS` entries are kept whatever their age. They are more
    # than the socket's buffer holds, so a copy that waited in the buffer while
    # this process was paused is still recognised.
    while (
        len(seen) > MIN_SEEN_DELEGATIONS
        and now - next(iter(seen.values())) > SEEN_DELEGATION_LIFETIME_S
    ):
        seen.popitem(last=False)
    if packet.incarnation != agent.incarnation or len(seen) >= MAX_SEEN_DELEGATIONS:
        return False
    seen[packet.home_target_id, packet.delegation_id] = now
    return True


def receive_delegate_reply(
    agent: Agent, served: ServedTarget, packet: DelegateReply, now: float
) -> None:
    """Finish a delegated request that ran, or place a returned one again."""
    served.peer_loads.record(packet.peer_target_id, packet.busy, now)
    served.incarnations_by_peer[packet.peer_target_id] = packet.incarnation
    request = served.requests_by_delegation_id.pop(packet.delegation_id, None)
    if request is None or request.request_id not in served.requests_by_id:
        agent.actions.count("answer-dropped", served.service.name, "late-delegate")
        return
    record = served.records_by_flow.get(request.flow)
    if packet.ran:
        record_run(served, request)
        finish_request(agent, served, request, packet.payload, now)
    elif record is None:
        forget_request(served, request)
    elif not _delegate_if_better(agent, served, record, request, now):
        _offer_returned(agent, served, request, now)


def _offer_returned(
    agent: Agent, served: ServedTarget, request: Request, now: float
) -> None:
    """Run, queue or refuse a delegated request here after its return."""
    if served.is_down:
        refuse_admitted(agent, served, request, "upstream-down", 1.0, now)
        return
    result = served.admission.offer(request.request_id, now, request.deadline)
    if isinstance(result, Start):
        start_request(agent, served, request, now)
    elif isinstance(result, Queued):
        request.state = RequestState.QUEUED
    else:
        refuse_admitted(agent, served, request, result.cause, result.retry_after, now)
