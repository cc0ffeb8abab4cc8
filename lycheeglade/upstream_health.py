"""Passive health check of a target's upstream, based on its answers.

An upstream that answers no datagrams is pinged. An upstream that doesn't
answer the pings either, or whose port is closed, is down: its flows move to
other targets until it answers again.

An upstream is stalled if it answers pings, but no requests for at least
`MIN_STALL_S` seconds and `STALL_GAP_FACTOR` times its longest response gap. It
is down for a hold-down time, during which answered pings don't mark it as up.
The published health is not used, since it lags.
"""

from lycheeglade.agent_state import Agent
from lycheeglade.blackboard import NEVER
from lycheeglade.served_target import MESSAGE_ID_MODULUS, ServedTarget

PING_AFTER_S = 1.0
PING_INTERVAL_S = 0.5
MIN_PINGS = 3
# Minimum seconds without any response to requests after which an upstream is
# stalled. They must also be `STALL_GAP_FACTOR` times the longest gap before a
# response.
MIN_STALL_S = 3.0
STALL_GAP_FACTOR = 4.0
# Assumed longest gap in seconds before the first response.
INITIAL_GAP_S = 3.0
GAP_DECAY = 0.99
# Seconds for which a stalled upstream gets no work, doubled each time that the
# upstream stalls again without a response in between.
HOLD_DOWN_S = 5.0
MAX_HOLD_DOWN_S = 60.0


def send_upstream(
    agent: Agent, served: ServedTarget, datagram: bytes, now: float
) -> None:
    """Send a datagram that the upstream must answer."""
    if served.unanswered_since is None:
        served.unanswered_since = now
        served.unanswered_pings = 0
        served.next_ping_at = now + PING_AFTER_S
    if served.awaiting_response_since is None:
        served.awaiting_response_since = now
    agent.actions.send_upstream(served.key, None, datagram)


def record_upstream_datagram(served: ServedTarget, now: float) -> bool:
    """Record that a datagram came from the upstream, which marks it as up.

    Returns
    -------
    bool
        Whether the upstream was down until now.
    """
    if now < served.hold_down_until:
        return False
    was_down = served.is_down
    served.unanswered_since = None
    served.is_down = False
    if was_down:
        # Requests that were sent while the upstream was down are lost.
        served.awaiting_response_since = None
    return was_down


def record_upstream_response(served: ServedTarget, now: float) -> None:
    """Record a response to a request, or an item of a feed."""
    if served.awaiting_response_since is not None:
        gap = now - served.awaiting_response_since
        served.longest_response_gap = max(
            gap, (served.longest_response_gap or 0.0) * GAP_DECAY
        )
    served.awaiting_response_since = None
    served.hold_down_s = 0.0
    served.hold_down_until = NEVER


def _detect_stall(served: ServedTarget, now: float) -> bool:
    """Mark an upstream as down once it has stalled.

    Returns
    -------
    bool
        Whether this call has marked the upstream as down.
    """
    if served.awaiting_response_since is None or served.is_down:
        return False
    gap = (
        INITIAL_GAP_S
        if served.longest_response_gap is None
        else served.longest_response_gap
    )
    if now - served.awaiting_response_since < max(MIN_STALL_S, STALL_GAP_FACTOR * gap):
        return False
    served.awaiting_response_since = None
    hold_down_s = max(HOLD_DOWN_S, 2 * served.hold_down_s)
    served.hold_down_s = min(hold_down_s, MAX_HOLD_DOWN_S)
    served.hold_down_until = now + served.hold_down_s
    # Pings detect whether the upstream answers after the hold-down time.
    served.unanswered_since = now
    served.next_ping_at = now + PING_INTERVAL_S
    served.is_down = True
    served.down_since = now
    return True


def check_upstream(agent: Agent, served: ServedTarget, now: float) -> bool:
    """Ping a silent upstream, and mark a silent or stalled one as down.

    Returns
    -------
    bool
        Whether this call has marked the upstream as down.
    """
    if served.adapter is not None and _detect_stall(served, now):
        return True
    if served.unanswered_since is None or now < served.next_ping_at:
        return False
    if served.adapter is None or _may_be_reassigned(served):
        return False
    served.next_ping_at = now + PING_INTERVAL_S
    served.unanswered_pings += 1
    message_id = agent.next_id() % MESSAGE_ID_MODULUS
    agent.actions.send_upstream(served.key, None, served.adapter.write_ping(message_id))
    if served.is_down or served.unanswered_pings <= MIN_PINGS:
        return False
    served.is_down = True
    served.down_since = now
    return True


def _may_be_reassigned(served: ServedTarget) -> bool:
    """Return whether the upstream must not be pinged.

    The address of a removed target without work may already belong to another
    service.
    """
    has_work = served.has_flows or served.requests_by_upstream_token
    return served.removed_at is not None and not has_work


def handle_port_closed(served: ServedTarget, now: float) -> bool:
    """Mark the upstream as down after its host reported a closed port.

    Returns
    -------
    bool
        Whether the upstream was up until now.
    """
    was_up = not served.is_down
    if was_up:
        served.is_down = True
        served.down_since = now
    if served.unanswered_since is None:
        served.unanswered_since = now
        served.next_ping_at = now + PING_INTERVAL_S
    return was_up
