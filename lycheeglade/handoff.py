"""Hands the flows of a leaving target to successors.

The successor registers the flow's feeds at its own upstream first. Then the
home gives up the flow and sends all its state: feeds with their sequence and
unacknowledged items, and tickets with their outcomes. From that moment the
home runs nothing more for the flow and passes its packets on.
"""

from collections import deque

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.address import Address
from lycheeglade.agent_state import Agent, rank_flow, send_packet
from lycheeglade.errors import PacketError, TicketError
from lycheeglade.feed import (
    make_feed,
    pump_feed,
    register_upstream,
    schedule_check,
    send_in_flight,
)
from lycheeglade.flow import FlowKey
from lycheeglade.home import point_to, probe_homes, serve_held
from lycheeglade.notice import announce_home
from lycheeglade.packet import (
    HandoffCommit,
    HandoffDone,
    HandoffOffer,
    HandoffReady,
)
from lycheeglade.served_target import (
    MAX_RECENT_ITEMS,
    Feed,
    FlowRecord,
    IncomingHandoff,
    Notification,
    OutgoingHandoff,
    ServedTarget,
)
from lycheeglade.session import close_record, open_record

MAX_HANDOFFS_AT_ONCE = 64
OFFER_TIMEOUT_S = 0.75
OFFERS_PER_SUCCESSOR = 3
COMMIT_RETRY_S = 0.25
MAX_COMMIT_ATTEMPTS = 8
INCOMING_TIMEOUT_S = 3.0
DRAIN_POLL_S = 0.1
READY_TIMEOUT_S = 0.5


class FeedState(Struct, frozen=True, array_like=True):
    """A feed on its way to a successor."""

    token: bytes
    registration: bytes
    sequence: int
    recent_items: tuple[bytes, ...]
    items: tuple[bytes, ...]
    latest: bytes
    in_flight: tuple[int, int, bytes] | None


class FlowState(Struct, frozen=True, array_like=True):
    """A flow on its way to a successor."""

    balancer_ip: str
    balancer_port: int
    next_message_id: int
    feeds: tuple[FeedState, ...]
    tickets: bytes


_encoder = Encoder()
_decoder = Decoder(FlowState)


def start_drain(agent: Agent, served: ServedTarget, now: float) -> None:
    """Take no new work at a target and hand its flows away."""
    if served.draining:
        return
    served.draining = True
    served.admission.drain(now)
    agent.actions.count("drain", served.service.name, "started")
    move_flows(agent, served, now)


def move_flows(agent: Agent, served: ServedTarget, now: float) -> None:
    """Begin to hand the flows away, unless that is going on."""
    if not served.is_moving:
        continue_drain(agent, served, now)


def stop_drain(served: ServedTarget, now: float) -> None:
    """Take new work again after a leaving target was declared live."""
    served.draining = False
    served.admission.resume(now)
    moving = {handoff.flow for handoff in served.outgoing_by_id.values()}
    for record in served.records_by_flow.values():
        record.leaving = record.flow in moving


def continue_drain(agent: Agent, served: ServedTarget, now: float) -> None:
    """Begin handoffs for idle flows, and look again soon."""
    if not served.must_move:
        served.is_moving = False
        return
    served.is_moving = True
    if served.adapter is not None:
        _begin_handoffs(agent, served, now)
    if served.is_down or served.has_flows:
        agent.timers.call_at(
            now + DRAIN_POLL_S, lambda now: continue_drain(agent, served, now)
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
    """Tell whether the flow has a request or a registration in progress."""
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
    turn = record.failed_offers // OFFERS_PER_SUCCESSOR
    successor = successors[turn % len(successors)]
    handoff = OutgoingHandoff(agent.next_number(), record.flow, successor)
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
    """Serve the flow here again if its successor did not take it."""
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
    serve_held(agent, served, handoff.flow, record.held, now)


def receive_offer(
    agent: Agent,
    served: ServedTarget,
    packet: HandoffOffer,
    source: Address,
    now: float,
) -> None:
    """Prepare to take a flow: register its feeds at the own upstream."""
    flow = FlowKey(packet.service, packet.caller_ip, packet.caller_port)
    incoming = served.incoming_by_flow.get(flow)
    if incoming is not None:
        if incoming.home_target_id == packet.home_target_id:
            incoming.handoff_id = packet.handoff_id
            _watch_registrations(agent, served, flow, incoming, source, now, now)
        return
    taken = (
        not served.must_move
        and not agent.stopping
        and flow not in served.records_by_flow
        and served.admission.admit_flow(now)
    )
    if not taken:
        ready = HandoffReady(
            packet.service, packet.home_target_id, packet.handoff_id, accepted=False
        )
        agent.actions.send(source, ready)
        return
    record = FlowRecord(flow, source, now, now, 0)
    feeds = _make_feeds(agent, served, record, packet, now)
    incoming = IncomingHandoff(
        packet.handoff_id, packet.home_target_id, now + INCOMING_TIMEOUT_S, feeds
    )
    served.incoming_by_flow[flow] = incoming
    _watch_registrations(agent, served, flow, incoming, source, now, now)
    agent.timers.call_at(
        incoming.expires_at,
        lambda now: _expire_incoming(agent, served, flow, incoming, now),
    )


def _make_feeds(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    packet: HandoffOffer,
    now: float,
) -> list[Feed]:
    feeds = []
    for registration in packet.registrations:
        try:
            message = served.adapter.read_caller(registration)
        except PacketError as error:
            agent.actions.count("malformed", served.service.name, error.cause)
            continue
        feed = make_feed(agent, record, message.token, registration, now)
        feed.suspended = True
        feeds.append(feed)
        register_upstream(agent, served, feed, now)
    return feeds


def _watch_registrations(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    incoming: IncomingHandoff,
    source: Address,
    started_at: float,
    now: float,
) -> None:
    """Tell the home as soon as every feed has its first item."""
    if served.incoming_by_flow.get(flow) is not incoming:
        return
    registered = all(feed.items for feed in incoming.feeds)
    if not registered and now - started_at < READY_TIMEOUT_S:
        agent.timers.call_at(
            now + READY_TIMEOUT_S / 50,
            lambda now: _watch_registrations(
                agent, served, flow, incoming, source, started_at, now
            ),
        )
        return
    if not registered:
        _cancel_incoming(agent, served, flow, incoming)
    ready = HandoffReady(
        served.service.name,
        incoming.home_target_id,
        incoming.handoff_id,
        accepted=registered,
    )
    send_packet(agent, source, ready, now)
    if not registered:
        _find_home_again(agent, served, flow, incoming, now)


def _cancel_incoming(
    agent: Agent, served: ServedTarget, flow: FlowKey, incoming: IncomingHandoff
) -> None:
    del served.incoming_by_flow[flow]
    served.admission.release_flow()
    for feed in incoming.feeds:
        served.feeds_by_upstream_token.pop(feed.upstream_token, None)
    agent.actions.count("handoff", served.service.name, "abandoned")


def _expire_incoming(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    incoming: IncomingHandoff,
    now: float,
) -> None:
    if served.incoming_by_flow.get(flow) is incoming:
        _cancel_incoming(agent, served, flow, incoming)
        _find_home_again(agent, served, flow, incoming, now)


def _find_home_again(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    incoming: IncomingHandoff,
    now: float,
) -> None:
    """Serve what waited for a flow that went elsewhere or stayed at home."""
    likely = (incoming.home_target_id,)
    probe_homes(agent, served, flow, list(incoming.held), now, likely)


def receive_ready(
    agent: Agent, served: ServedTarget, packet: HandoffReady, now: float
) -> None:
    """Give the flow up and send its state to the successor."""
    handoff = served.outgoing_by_id.get(packet.handoff_id)
    if handoff is None or handoff.state is not None:
        return
    record = served.records_by_flow.get(handoff.flow)
    if record is None or not packet.accepted or not served.must_move:
        _withdraw_offer(agent, served, handoff, now)
        return
    handoff.state = _encoder.encode(_export_flow(served, record, now))
    close_record(agent, served, record, now)
    point_to(agent, served, handoff.flow, handoff.successor.target_id, now)
    _send_commit(agent, served, handoff, now)
    serve_held(agent, served, handoff.flow, record.held, now)


def _export_flow(served: ServedTarget, record: FlowRecord, now: float) -> FlowState:
    return FlowState(
        record.balancer.ip,
        record.balancer.port,
        record.next_message_id,
        tuple(_export_feed(feed) for feed in record.feeds_by_token.values()),
        served.book.export_flow(record.flow, now),
    )


def _export_feed(feed: Feed) -> FeedState:
    in_flight = feed.in_flight
    return FeedState(
        feed.token,
        feed.registration,
        feed.sequence,
        tuple(feed.recent_items),
        tuple(feed.items),
        feed.latest,
        in_flight and (in_flight.sequence, in_flight.message_id, in_flight.datagram),
    )


def _send_commit(
    agent: Agent, served: ServedTarget, handoff: OutgoingHandoff, now: float
) -> None:
    """Send the state until the successor acknowledges it."""
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


def receive_commit(
    agent: Agent,
    served: ServedTarget,
    packet: HandoffCommit,
    source: Address,
    now: float,
) -> None:
    """Become the home of a flow. A repeated commit is only acknowledged."""
    flow = FlowKey(packet.service, packet.caller_ip, packet.caller_port)
    incoming = served.incoming_by_flow.get(flow)
    if incoming is None or incoming.handoff_id != packet.handoff_id:
        if (packet.home_target_id, packet.handoff_id) in served.committed:
            _acknowledge_commit(agent, packet, source)
        else:
            agent.actions.count("handoff", served.service.name, "late-commit")
        return
    try:
        state = _decoder.decode(packet.state)
    except DecodeError:
        agent.actions.count("malformed", served.service.name, "handoff-state")
        return
    del served.incoming_by_flow[flow]
    served.committed.append((packet.home_target_id, packet.handoff_id))
    _acknowledge_commit(agent, packet, source)
    _import_flow(agent, served, flow, incoming, state, now)
    agent.actions.count("handoff", served.service.name, "taken")
    announce_home(agent, served, [flow], now)
    serve_held(agent, served, flow, incoming.held, now)


def _acknowledge_commit(agent: Agent, packet: HandoffCommit, source: Address) -> None:
    done = HandoffDone(packet.service, packet.home_target_id, packet.handoff_id)
    agent.actions.send(source, done)


def _import_flow(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    incoming: IncomingHandoff,
    state: FlowState,
    now: float,
) -> None:
    balancer = Address(state.balancer_ip, state.balancer_port)
    record = open_record(agent, served, flow, balancer, now)
    record.next_message_id = state.next_message_id
    try:
        served.book.import_flow(flow, state.tickets, now)
    except TicketError:
        agent.actions.count("malformed", served.service.name, "handoff-state")
    states_by_token = {feed.token: feed for feed in state.feeds}
    for feed in incoming.feeds:
        feed_state = states_by_token.get(feed.token)
        if feed_state is None:
            served.feeds_by_upstream_token.pop(feed.upstream_token, None)
            continue
        record.feeds_by_token[feed.token] = feed
        _import_feed(feed, feed_state, now)
        if feed.in_flight is not None:
            send_in_flight(agent, served, record, feed, now)
        pump_feed(agent, served, feed, now)
        schedule_check(agent, served, feed, now + served.service.heartbeat)


def _import_feed(feed: Feed, state: FeedState, now: float) -> None:
    """Go on where the home stopped, without the items that it had seen."""
    delivered = set(state.recent_items)
    own_items = list(zip(feed.recent_items, feed.items, strict=False))
    unseen = [(item, datagram) for item, datagram in own_items if item not in delivered]
    feed.items = deque([*state.items, *(datagram for _, datagram in unseen)])
    feed.recent_items = deque(
        [*state.recent_items, *(item for item, _ in unseen)], maxlen=MAX_RECENT_ITEMS
    )
    feed.sequence = state.sequence
    feed.latest = state.latest
    feed.suspended = False
    if state.in_flight is not None:
        feed.in_flight = Notification(*state.in_flight, created_at=now)


def receive_done(served: ServedTarget, packet: HandoffDone) -> None:
    """Forget a handoff that the successor has acknowledged."""
    served.outgoing_by_id.pop(packet.handoff_id, None)
