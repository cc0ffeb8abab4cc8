"""Feeds: notifications in order, acknowledged, and with heartbeats."""

from lycheeglade.agent_state import (
    Agent,
    answer_caller,
    find_usable_balancers,
    make_answer,
)
from lycheeglade.exchange import allocate_upstream_token, reply_to
from lycheeglade.message import CallerMessage, ReplyTo, UpstreamMessage
from lycheeglade.notice import announce_home
from lycheeglade.retry import compute_ceiling
from lycheeglade.routing import MAX_CANDIDATES
from lycheeglade.served_target import (
    MESSAGE_ID_MODULUS,
    Feed,
    FlowRecord,
    Notification,
    ServedTarget,
)
from lycheeglade.upstream_health import send_upstream

MAX_FEEDS_PER_FLOW = 8
MAX_WAITING_ITEMS = 64
MAX_NOTIFICATION_ATTEMPTS = 10
RETRY_BASE_S = 0.5
MAX_RETRY_S = 2.0
RETRY_JITTER = 0.25
MAX_REFRESHES = 3
ATTEMPTS_PER_NOTICE = 2
REGISTRATION_TIMEOUT_S = 5.0
FEED_RETRY_AFTER_S = 1


def open_feed(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    message: CallerMessage,
    now: float,
) -> None:
    """Open a caller's feed, or answer a repeated registration."""
    feed = record.feeds_by_token.get(message.token)
    if feed is not None:
        _answer_repeated_registration(agent, served, record, feed, message, now)
        return
    if served.is_down:
        _refuse_feed(agent, served, record, reply_to(message), "upstream-down")
        return
    if len(record.feeds_by_token) >= MAX_FEEDS_PER_FLOW:
        _refuse_feed(agent, served, record, reply_to(message), "feed-limit")
        return
    feed = make_feed(agent, record, message.token, message.datagram, now)
    feed.reply_to = reply_to(message)
    record.feeds_by_token[feed.token] = feed
    register_upstream(agent, served, feed, now)
    agent.timers.call_at(
        now + REGISTRATION_TIMEOUT_S,
        lambda now: _check_registration(agent, served, feed, now),
    )
    schedule_check(agent, served, feed, now + served.service.heartbeat)


def _answer_repeated_registration(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    feed: Feed,
    message: CallerMessage,
    now: float,
) -> None:
    """Answer a repeated registration with the latest item.

    A copy of the registration gets the sequence number under which the item
    was sent, so that a caller that has the item discards the answer (RFC 7641,
    section 3.4).
    """
    if feed.latest and message.datagram == feed.registration:
        datagram = served.adapter.write_notification(
            feed.latest, reply_to(message), feed.token, feed.sequence
        )
        answer_caller(agent, served, record, datagram)
        return
    feed.reply_to = reply_to(message)
    if feed.latest:
        _answer_registration(agent, served, record, feed, feed.latest, now)


def _refuse_feed(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    registration: ReplyTo,
    cause: str,
) -> None:
    agent.actions.count("refused", served.service.name, cause)
    datagram = served.adapter.write_refusal(registration, FEED_RETRY_AFTER_S, None)
    answer_caller(agent, served, record, datagram)


def refuse_registrations(agent: Agent, served: ServedTarget) -> None:
    """Refuse the registrations that a failed upstream has not answered."""
    for feed in list(served.feeds_by_upstream_token.values()):
        record = served.records_by_flow.get(feed.flow)
        if record is None or feed.latest or feed.reply_to is None:
            continue
        _refuse_feed(agent, served, record, feed.reply_to, "upstream-down")
        drop_feed(agent, served, feed)


def make_feed(
    agent: Agent, record: FlowRecord, token: bytes, registration: bytes, now: float
) -> Feed:
    """Return a new feed of the flow."""
    return Feed(
        flow=record.flow,
        token=token,
        registration=registration,
        upstream_token=allocate_upstream_token(agent),
        opened_at=now,
        last_sent_at=now,
        last_upstream_at=now,
    )


def register_upstream(
    agent: Agent, served: ServedTarget, feed: Feed, now: float
) -> None:
    """Register a feed at the upstream, or refresh its registration."""
    served.feeds_by_upstream_token[feed.upstream_token] = feed
    datagram = served.adapter.write_request(
        feed.registration,
        agent.next_id() % MESSAGE_ID_MODULUS,
        feed.upstream_token,
    )
    send_upstream(agent, served, datagram, now)


def _check_registration(
    agent: Agent, served: ServedTarget, feed: Feed, now: float
) -> None:
    """Close a feed if the upstream hasn't answered its registration."""
    if feed.latest or not is_feed_open(served, feed):
        return
    record = served.records_by_flow[feed.flow]
    if feed.reply_to is not None:
        datagram = served.adapter.write_unknown(feed.reply_to)
        answer_caller(agent, served, record, datagram)
    agent.actions.count("feed", served.service.name, "registration-late")
    drop_feed(agent, served, feed)


def renew_registrations(agent: Agent, served: ServedTarget, now: float) -> None:
    """Register all feeds again at an upstream that has recovered."""
    for feed in list(served.feeds_by_upstream_token.values()):
        register_upstream(agent, served, feed, now)


def is_feed_open(served: ServedTarget, feed: Feed) -> bool:
    """Return whether `feed` is open at this target."""
    record = served.records_by_flow.get(feed.flow)
    return record is not None and record.feeds_by_token.get(feed.token) is feed


def drop_feed(agent: Agent, served: ServedTarget, feed: Feed) -> None:
    """Delete a feed.

    The upstream's next confirmable notification is answered with a reset,
    which ends the registration there.
    """
    served.feeds_by_upstream_token.pop(feed.upstream_token, None)
    record = served.records_by_flow.get(feed.flow)
    if record is not None and record.feeds_by_token.get(feed.token) is feed:
        del record.feeds_by_token[feed.token]


def close_feed(
    agent: Agent, served: ServedTarget, record: FlowRecord, token: bytes
) -> None:
    """Close a feed at the request of its caller."""
    feed = record.feeds_by_token.get(token)
    if feed is not None:
        agent.actions.count("feed", served.service.name, "closed")
        drop_feed(agent, served, feed)


def receive_notification(
    agent: Agent, served: ServedTarget, message: UpstreamMessage, now: float
) -> bool:
    """Handle a response of the upstream that may belong to a feed.

    Returns
    -------
    bool
        Whether the response belongs to a feed.
    """
    feed = served.feeds_by_upstream_token.get(message.token)
    if feed is None:
        return False
    feed.last_upstream_at = now
    feed.refreshes = 0
    if not message.is_notification:
        _end_by_upstream(agent, served, feed, message)
        return True
    if message.content_id in feed.recent_items:
        return True
    feed.recent_items.append(message.content_id)
    feed.items.append(message.datagram)
    if len(feed.items) > MAX_WAITING_ITEMS:
        agent.actions.count("feed", served.service.name, "overflow")
        _end_feed(agent, served, feed)
    else:
        send_next_item(agent, served, feed, now)
    return True


def _end_by_upstream(
    agent: Agent, served: ServedTarget, feed: Feed, message: UpstreamMessage
) -> None:
    """Close a feed after the upstream has ended or refused it."""
    record = served.records_by_flow.get(feed.flow)
    agent.actions.count("feed", served.service.name, "ended-by-upstream")
    if record is not None and feed.reply_to is not None:
        datagram = served.adapter.write_response(message.datagram, feed.reply_to, None)
        answer_caller(agent, served, record, datagram)
        drop_feed(agent, served, feed)
    else:
        _end_feed(agent, served, feed)


def _end_feed(agent: Agent, served: ServedTarget, feed: Feed) -> None:
    """Close a feed and notify its caller."""
    record = served.records_by_flow.get(feed.flow)
    if record is not None:
        datagram = served.adapter.write_closing(
            record.allocate_message_id(), feed.token
        )
        answer_caller(agent, served, record, datagram)
    drop_feed(agent, served, feed)


def send_next_item(agent: Agent, served: ServedTarget, feed: Feed, now: float) -> None:
    """Send the next item, unless a notification awaits acknowledgement."""
    record = served.records_by_flow.get(feed.flow)
    if record is None or feed.is_suspended or feed.in_flight or not feed.items:
        return
    item = feed.items.popleft()
    feed.latest = item
    if feed.reply_to is not None:
        _answer_registration(agent, served, record, feed, item, now)
        send_next_item(agent, served, feed, now)
        return
    _send_notification(agent, served, record, feed, item, now)


def _answer_registration(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    feed: Feed,
    item: bytes,
    now: float,
) -> None:
    feed.sequence += 1
    datagram = served.adapter.write_notification(
        item, feed.reply_to, feed.token, feed.sequence
    )
    feed.reply_to = None
    feed.last_sent_at = now
    answer_caller(agent, served, record, datagram)


def _send_notification(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    feed: Feed,
    item: bytes,
    now: float,
) -> None:
    feed.sequence += 1
    message_id = record.allocate_message_id()
    datagram = served.adapter.write_notification(
        item, message_id, feed.token, feed.sequence
    )
    feed.in_flight = Notification(feed.sequence, message_id, datagram, now)
    send_in_flight(agent, served, record, feed, now)


def send_in_flight(
    agent: Agent,
    served: ServedTarget,
    record: FlowRecord,
    feed: Feed,
    now: float,
) -> None:
    """Send the notification in flight.

    Each attempt uses another balancer than the one before.
    """
    notification = feed.in_flight
    balancer = record.balancer
    if notification.attempts:
        usable = find_usable_balancers(agent, served.service, now)
        if notification.tried_balancers.issuperset(usable):
            # The next round doesn't begin with the balancer of the last
            # attempt, which has just failed.
            notification.tried_balancers = {notification.balancer}
        untried = [
            address for address in usable if address not in notification.tried_balancers
        ]
        balancer = untried[0] if untried else balancer
    notification.balancer = balancer
    notification.tried_balancers.add(balancer)
    packet = make_answer(served, feed.flow, notification.datagram)
    agent.actions.send(balancer, packet)
    backoff = compute_ceiling(notification.attempts, RETRY_BASE_S, MAX_RETRY_S)
    notification.attempts += 1
    notification.retry_at = now + backoff * (
        1 + RETRY_JITTER * agent.generator.random()
    )
    feed.last_sent_at = now
    schedule_check(agent, served, feed, notification.retry_at)


def schedule_check(agent: Agent, served: ServedTarget, feed: Feed, due: float) -> None:
    """Schedule a check of the feed at `due`, unless an earlier one is set."""
    if feed.next_check_at is None or due < feed.next_check_at:
        feed.next_check_at = due
        agent.timers.call_at(
            due, lambda now: _check_feed(agent, served, feed, due, now)
        )


def _check_feed(
    agent: Agent, served: ServedTarget, feed: Feed, due: float, now: float
) -> None:
    if feed.next_check_at != due or not is_feed_open(served, feed) or feed.is_suspended:
        return
    feed.next_check_at = None
    record = served.records_by_flow[feed.flow]
    if feed.in_flight is not None:
        if now >= feed.in_flight.retry_at:
            _retransmit(agent, served, record, feed, now)
        else:
            schedule_check(agent, served, feed, feed.in_flight.retry_at)
        return
    heartbeat = served.service.heartbeat
    heartbeat_due = feed.last_sent_at + heartbeat
    if now < heartbeat_due:
        schedule_check(agent, served, feed, heartbeat_due)
        return
    if now - feed.last_upstream_at >= heartbeat:
        if feed.refreshes >= MAX_REFRESHES:
            agent.actions.count("feed", served.service.name, "upstream-silent")
            _end_feed(agent, served, feed)
            return
        feed.refreshes += 1
        register_upstream(agent, served, feed, now)
    if feed.latest:
        _send_notification(agent, served, record, feed, feed.latest, now)
    else:
        schedule_check(agent, served, feed, now + heartbeat)


def _retransmit(
    agent: Agent, served: ServedTarget, record: FlowRecord, feed: Feed, now: float
) -> None:
    if feed.in_flight.attempts >= MAX_NOTIFICATION_ATTEMPTS:
        agent.actions.count("feed", served.service.name, "caller-silent")
        drop_feed(agent, served, feed)
        return
    if feed.in_flight.attempts % ATTEMPTS_PER_NOTICE == 0:
        # The acknowledgement may have reached an agent that isn't the flow's
        # home and doesn't know it.
        announce_home(agent, served, [feed.flow], now, receivers=MAX_CANDIDATES)
    send_in_flight(agent, served, record, feed, now)


def receive_acknowledgement(
    agent: Agent, served: ServedTarget, record: FlowRecord, message_id: int, now: float
) -> None:
    """Handle the acknowledgement of a notification: send the next item."""
    for feed in record.feeds_by_token.values():
        if feed.in_flight and feed.in_flight.message_id == message_id:
            seconds = now - feed.in_flight.created_at
            agent.actions.record(served.service.name, "feed", "whole", seconds)
            feed.in_flight = None
            send_next_item(agent, served, feed, now)
            if feed.in_flight is None:
                due = feed.last_sent_at + served.service.heartbeat
                schedule_check(agent, served, feed, due)
            return


def receive_reset(
    agent: Agent, served: ServedTarget, record: FlowRecord, message_id: int
) -> None:
    """Close the feed whose notification the caller has rejected."""
    for feed in list(record.feeds_by_token.values()):
        if feed.in_flight and feed.in_flight.message_id == message_id:
            agent.actions.count("feed", served.service.name, "rejected")
            drop_feed(agent, served, feed)
            return
