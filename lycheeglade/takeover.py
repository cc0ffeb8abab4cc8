"""Successor's side of a handoff.

The flow's feeds are registered at the successor's upstream before the home
closes the flow. Packets of the flow that arrive before the commit are held.
"""

from collections import deque

from lycheeglade.address import Address
from lycheeglade.agent_state import Agent, send_packet
from lycheeglade.errors import DECODE_ERRORS, PacketError, TicketError
from lycheeglade.feed import (
    make_feed,
    register_upstream,
    schedule_check,
    send_in_flight,
    send_next_item,
)
from lycheeglade.flow import FlowKey
from lycheeglade.flow_state import FeedState, FlowState, decode_state
from lycheeglade.home import probe_homes, serve_held_packets
from lycheeglade.notice import announce_home
from lycheeglade.packet import (
    HandoffCommit,
    HandoffDone,
    HandoffOffer,
    HandoffReady,
    flow_of,
)
from lycheeglade.served_target import (
    MAX_RECENT_ITEMS,
    Feed,
    FlowRecord,
    IncomingHandoff,
    Notification,
    ServedTarget,
)
from lycheeglade.session import open_record

INCOMING_TIMEOUT_S = 3.0
READY_TIMEOUT_S = 0.5


def receive_handoff_offer(
    agent: Agent,
    served: ServedTarget,
    packet: HandoffOffer,
    source: Address,
    now: float,
) -> None:
    """Handle the offer of a flow: register its feeds here, or refuse it."""
    flow = flow_of(packet)
    incoming = served.incoming_by_flow.get(flow)
    if incoming is not None:
        if incoming.home_target_id == packet.home_target_id:
            incoming.handoff_id = packet.handoff_id
            incoming.expires_at = now + INCOMING_TIMEOUT_S
            _await_registrations(agent, served, flow, incoming, source, now, now)
        return
    is_accepted = (
        not served.must_move
        and not agent.stopping
        and flow not in served.records_by_flow
        and served.admission.admit_flow(now)
    )
    if not is_accepted:
        reply = HandoffReady(
            packet.service, packet.home_target_id, packet.handoff_id, accepted=False
        )
        agent.actions.send(source, reply)
        return
    record = FlowRecord(flow, source, now, now, 0)
    feeds = _make_feeds(agent, served, record, packet, now)
    incoming = IncomingHandoff(
        packet.handoff_id, packet.home_target_id, now + INCOMING_TIMEOUT_S, feeds
    )
    served.incoming_by_flow[flow] = incoming
    _await_registrations(agent, served, flow, incoming, source, now, now)
    _schedule_expiry(agent, served, flow, incoming)


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
        feed.is_suspended = True
        feeds.append(feed)
        register_upstream(agent, served, feed, now)
    return feeds


def _await_registrations(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    incoming: IncomingHandoff,
    source: Address,
    started_at: float,
    now: float,
) -> None:
    """Accept the offer once every feed has an item, or refuse it at time-out.

    The time-out is `READY_TIMEOUT_S`.
    """
    if served.incoming_by_flow.get(flow) is not incoming:
        return
    is_registered = all(feed.items for feed in incoming.feeds)
    if not is_registered and now - started_at < READY_TIMEOUT_S:
        agent.timers.call_at(
            now + READY_TIMEOUT_S / 50,
            lambda now: _await_registrations(
                agent, served, flow, incoming, source, started_at, now
            ),
        )
        return
    if not is_registered:
        _cancel_incoming(agent, served, flow, incoming)
    reply = HandoffReady(
        served.service.name,
        incoming.home_target_id,
        incoming.handoff_id,
        accepted=is_registered,
    )
    send_packet(agent, source, reply, now)
    if not is_registered:
        _find_home_again(agent, served, flow, incoming, now)


def _cancel_incoming(
    agent: Agent, served: ServedTarget, flow: FlowKey, incoming: IncomingHandoff
) -> None:
    del served.incoming_by_flow[flow]
    served.admission.release_flow()
    for feed in incoming.feeds:
        served.feeds_by_upstream_token.pop(feed.upstream_token, None)
    agent.actions.count("handoff", served.service.name, "abandoned")


def _schedule_expiry(
    agent: Agent, served: ServedTarget, flow: FlowKey, incoming: IncomingHandoff
) -> None:
    agent.timers.call_at(
        incoming.expires_at,
        lambda now: _expire_incoming(agent, served, flow, incoming, now),
    )


def _expire_incoming(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    incoming: IncomingHandoff,
    now: float,
) -> None:
    if served.incoming_by_flow.get(flow) is not incoming:
        return
    if now < incoming.expires_at:
        _schedule_expiry(agent, served, flow, incoming)
    else:
        _cancel_incoming(agent, served, flow, incoming)
        _find_home_again(agent, served, flow, incoming, now)


def _find_home_again(
    agent: Agent,
    served: ServedTarget,
    flow: FlowKey,
    incoming: IncomingHandoff,
    now: float,
) -> None:
    """Look up the home of a flow that wasn't taken over.

    The held packets are served or forwarded afterwards.
    """
    likely = (incoming.home_target_id,)
    probe_homes(agent, served, flow, list(incoming.held), now, likely)


def receive_handoff_commit(
    agent: Agent,
    served: ServedTarget,
    packet: HandoffCommit,
    source: Address,
    now: float,
) -> None:
    """Make this target the home of a flow.

    A repeated commit is only acknowledged.
    """
    flow = flow_of(packet)
    incoming = served.incoming_by_flow.get(flow)
    if incoming is None or incoming.handoff_id != packet.handoff_id:
        if (packet.home_target_id, packet.handoff_id) in served.committed_handoffs:
            _acknowledge_commit(agent, packet, source)
        else:
            agent.actions.count("handoff", served.service.name, "late-commit")
        return
    try:
        state = decode_state(packet.state)
    except DECODE_ERRORS:
        agent.actions.count("malformed", served.service.name, "handoff-state")
        return
    del served.incoming_by_flow[flow]
    served.committed_handoffs.append((packet.home_target_id, packet.handoff_id))
    _acknowledge_commit(agent, packet, source)
    _import_flow(agent, served, flow, incoming, state, now)
    agent.actions.count("handoff", served.service.name, "taken")
    announce_home(agent, served, [flow], now)
    serve_held_packets(agent, served, flow, incoming.held, now)


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
    record.executed_message_ids.extend(state.executed_message_ids)
    try:
        served.ticket_registry.import_flow(flow, state.tickets, now)
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
        send_next_item(agent, served, feed, now)
        schedule_check(agent, served, feed, now + served.service.heartbeat)


def _import_feed(feed: Feed, state: FeedState, now: float) -> None:
    """Apply the feed state of the former home.

    Items that arrived here are discarded if the former home received them.
    """
    delivered = set(state.recent_items)
    own_items = list(zip(feed.recent_items, feed.items, strict=False))
    unseen = [(item, datagram) for item, datagram in own_items if item not in delivered]
    feed.items = deque([*state.items, *(datagram for _, datagram in unseen)])
    feed.recent_items = deque(
        [*state.recent_items, *(item for item, _ in unseen)], maxlen=MAX_RECENT_ITEMS
    )
    feed.sequence = state.sequence
    feed.latest = state.latest
    feed.is_suspended = False
    if state.in_flight is not None:
        feed.in_flight = Notification(*state.in_flight, created_at=now)
