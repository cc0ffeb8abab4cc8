"""Handoff of flows from a target that they must leave to successors.

The successor first registers the flow's feeds at its own upstream. Then the
home closes the flow and sends its state: feeds with their sequence numbers and
unacknowledged items, and tickets with their outcomes. From then on the former
home runs no request of the flow and forwards its packets to the successor.
"""

from lycheeglade.agent_state import Agent, rank_flow, send_packet
from lycheeglade.flow_state import encode_state, export_flow
from lycheeglade.home import record_home, serve_held_packets
from lycheeglade.packet import (
    HandoffCommit,
    HandoffDone,
    HandoffOffer,
    HandoffReady,
)
from lycheeglade.served_target import (
    FlowRecord,
    OutgoingHandoff,
    ServedTarget,
)
from lycheeglade.session import close_record

MAX_HANDOFFS_AT_ONCE = 64
OFFER_TIMEOUT_S = 0.75
OFFERS_PER_SUCCESSOR = 3
COMMIT_RETRY_S = 0.25
MAX_COMMIT_ATTEMPTS = 8
DRAIN_POLL_S = 0.1


def start_drain(agent: Agent, served: ServedTarget, now: float) -> None:
    """Stop accepting work at a target and start to hand off its flows."""
    if served.draining:
        return
    served.draining = True
    served.admission.drain(now)
    agent.actions.count("drain", served.service.name, "started")
    move_flows(agent, served, now)


def move_flows(agent: Agent, served: ServedTarget, now: float) -> None:
    """Start to hand off the flows of a target, unless that is in progress."""
    if not served.is_moving:
        continue_moving_flows(agent, served, now)


def stop_drain(served: ServedTarget, now: float) -> None:
    """Accept work again at a draining target that is published as live."""
    served.draining = False
    served.admission.resume(now)
    moving = {handoff.flow for handoff in served.outgoing_by_id.values()}
    for record in served.records_by_flow.values():
        record.leaving = record.flow in moving


def continue_moving_flows(agent: Agent, served: ServedTarget, now: float) -> None:
    """Offer flows without work to successors, and poll until none is left."""
    if not served.must_move:
        served.is_moving = False
        return
    served.is_moving = True
    if served.adapter is not None:
        _begin_handoffs(agent, served, now)
    if served.is_down or served.has_flows:
        agent.timers.call_at(
            now + DRAIN_POLL_S, lambda now: continue_moving_flows(agent, served, now)
        )
    else:
        served.is_moving = False


def _begin_handoffs(agent: Agent, served: ServedTarget, now: float) -> None:
    moving = {handoff.flow for handoff in served.outgoing_by_id.values()}
    for record in list(served.records_by_flow.values()):
        if len(served.outgoing_by_id) >= MAX_HANDOFFS_AT_ONCE:
            return
        if record.flow not in moving and not _is_busy(record):
            _offer_flow(agent, served, record, now)


def _is_busy(record: FlowRecord) -> bool:
    """Return whether the flow has a request or a registration in progress."""
    return bool(record.requests_by_message_id) or any(
        not feed.latest for feed in record.feeds_by_token.values()
    )


def _offer_flow(
    agent: Agent, served: ServedTarget, record: FlowRecord, now: float
) -> None:
    own = served.target.target_id
    successors = [
        target
        for target in rank_flow(agent, served, record.flow)
        if target.target_id != own
    ]
    if not successors:
        return
    successor_index = record.failed_offers // OFFERS_PER_SUCCESSOR
    successor = successors[successor_index % len(successors)]
    handoff = OutgoingHandoff(agent.next_id(), record.flow, successor)
    served.outgoing_by_id[handoff.handoff_id] = handoff
    record.leaving = True
    packet = HandoffOffer(
        served.service.name,
        successor.target_id,
        own,
        record.flow.caller_ip,
        record.flow.caller_port,
        handoff.handoff_id,
        tuple(feed.registration for feed in record.feeds_by_token.values()),
    )
    send_packet(agent, successor.agent, packet, now)
    agent.timers.call_at(
        now + OFFER_TIMEOUT_S,
        lambda now: _withdraw_offer(agent, served, handoff, now),
    )


def _withdraw_offer(
    agent: Agent, served: ServedTarget, handoff: OutgoingHandoff, now: float
) -> None:
    """Cancel a handoff that wasn't committed and serve the flow here again."""
    if handoff.state is not None:
        return
    if served.outgoing_by_id.pop(handoff.handoff_id, None) is None:
        return
    record = served.records_by_flow.get(handoff.flow)
    if record is None:
        return
    record.leaving = False
    record.failed_offers += 1
    agent.actions.count("handoff", served.service.name, "not-taken")
    serve_held_packets(agent, served, handoff.flow, record.held, now)


def receive_handoff_ready(
    agent: Agent, served: ServedTarget, packet: HandoffReady, now: float
) -> None:
    """Close the flow and send its state to the successor, if it accepts."""
    handoff = served.outgoing_by_id.get(packet.handoff_id)
    if handoff is None or handoff.state is not None:
        return
    record = served.records_by_flow.get(handoff.flow)
    if record is None or not packet.accepted or not served.must_move:
        _withdraw_offer(agent, served, handoff, now)
        return
    handoff.state = encode_state(export_flow(served, record, now))
    close_record(agent, served, record, now)
    record_home(agent, served, handoff.flow, handoff.successor.target_id, now)
    _send_commit(agent, served, handoff, now)
    serve_held_packets(agent, served, handoff.flow, record.held, now)


def _send_commit(
    agent: Agent, served: ServedTarget, handoff: OutgoingHandoff, now: float
) -> None:
    """Send the state of a flow, and retransmit it until it is acknowledged.

    After `MAX_COMMIT_ATTEMPTS` the flow is counted as lost.
    """
    if handoff.handoff_id not in served.outgoing_by_id:
        return
    if handoff.attempts >= MAX_COMMIT_ATTEMPTS:
        del served.outgoing_by_id[handoff.handoff_id]
        agent.actions.count("handoff", served.service.name, "lost")
        return
    handoff.attempts += 1
    packet = HandoffCommit(
        served.service.name,
        handoff.successor.target_id,
        served.target.target_id,
        handoff.flow.caller_ip,
        handoff.flow.caller_port,
        handoff.handoff_id,
        handoff.state,
    )
    send_packet(agent, handoff.successor.agent, packet, now)
    agent.timers.call_at(
        now + COMMIT_RETRY_S * handoff.attempts,
        lambda now: _send_commit(agent, served, handoff, now),
    )


def receive_handoff_done(served: ServedTarget, packet: HandoffDone) -> None:
    """Delete a handoff that the successor has acknowledged."""
    served.outgoing_by_id.pop(packet.handoff_id, None)
