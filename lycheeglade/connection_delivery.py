"""Delivery of segments to the agent's target, and notices to balancers."""

from lycheeglade.address import Address
from lycheeglade.connection_agent_state import (
    MAX_CONNECTION_BALANCERS,
    ConnectionAgent,
    LocalConnection,
    PendingSegment,
)
from lycheeglade.relay_message import ForwardSegment, HomeFound
from lycheeglade.segment import ConnectionKey, Segment

MAX_PENDING = 4096
TAG_SPACE = 1 << 32


def deliver_pending(
    agent: ConnectionAgent, pending: PendingSegment, segment: Segment, now: float
) -> None:
    """Deliver a segment with a tag by which it is found if it is returned."""
    tag = agent.next_tag
    agent.next_tag = tag % (TAG_SPACE - 1) + 1
    agent.pending_by_tag[tag] = pending
    if len(agent.pending_by_tag) > MAX_PENDING:
        agent.pending_by_tag.popitem(last=False)
    deliver(agent, segment, tag, now)


def deliver(agent: ConnectionAgent, segment: Segment, tag: int, now: float) -> None:
    """Deliver a segment to the target; `tag` is 0 if none is expected back."""
    if segment.opens:
        agent.silence.record_opening(segment, now)
    elif tag and segment.data_bytes:
        agent.silence.record_unknown_data(segment, now)
    agent.actions.deliver(segment, tag)


def record_segment(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    message: ForwardSegment,
    now: float,
) -> None:
    """Record a segment of a connection and the balancer that forwarded it."""
    connection.last_at = now
    agent.connections_by_key.move_to_end(key)
    if message.balancer not in connection.balancers or message.search:
        add_balancer(connection.balancers, message.balancer)
        if connection.is_open:
            _send_home_found(agent, message.balancer, key, connection)


def add_balancer(balancers: set[Address], balancer: Address) -> None:
    """Add a balancer of a connection, in place of another one if too many."""
    if len(balancers) >= MAX_CONNECTION_BALANCERS:
        balancers.pop()
    balancers.add(balancer)


def _send_home_found(
    agent: ConnectionAgent,
    balancer: Address,
    key: ConnectionKey,
    connection: LocalConnection,
) -> None:
    home_found = HomeFound(key, connection.sequence, connection.is_open)
    agent.actions.send(balancer, home_found)


def notify_balancers(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection
) -> None:
    """Tell all balancers of a connection that its home is here."""
    for balancer in connection.balancers:
        _send_home_found(agent, balancer, key, connection)
