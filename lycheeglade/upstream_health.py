"""Tells whether a target's upstream is up, from what it answers.

An upstream that answers nothing is pinged. One that stays silent, or whose
port is closed, is down: its flows move to other targets until it answers
again. So is one that answers pings but none of its requests for several times
as long as it ever took; a ping that it answers doesn't bring that one back
before its pause is over. Published health is not consulted, since it lags.
"""

from lycheeglade.agent_state import Agent
from lycheeglade.blackboard import NEVER
from lycheeglade.served_target import MESSAGE_ID_MODULUS, ServedTarget

SILENCE_S = 1.0
PING_INTERVAL_S = 0.5
MIN_PINGS = 3
# Seconds without any response to requests after which an upstream is mute,
# if that is also `MUTE_FACTOR` times the longest such gap that ended well.
MUTE_S = 3.0
MUTE_FACTOR = 4.0
# Seconds that count for the longest gap until a response has come.
UNKNOWN_GAP_S = 3.0
GAP_DECAY = 0.99
# Seconds that a mute upstream gets no work, doubled each time it stays mute.
MUTE_PAUSE_S = 5.0
MAX_MUTE_PAUSE_S = 60.0


def send_upstream(
    agent: Agent, served: ServedTarget, datagram: bytes, now: float
) -> None:
    """Send a datagram that the upstream has to answer."""
    if served.unanswered_since is None:
        served.unanswered_since = now
        served.unanswered_pings = 0
        served.next_ping_at = now + SILENCE_S
    if served.awaiting_response_since is None:
        served.awaiting_response_since = now
    agent.actions.send_upstream(served.key, None, datagram)


def record_upstream_datagram(served: ServedTarget, now: float) -> bool:
    """Note any datagram from the upstream.

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
        # What it was sent while it was down is lost.
        served.awaiting_response_since = None
    return was_down


def record_upstream_response(served: ServedTarget, now: float) -> None:
    """Note a response to a request, or an item of a feed."""
    if served.awaiting_response_since is not None:
        gap = now - served.awaiting_response_since
        served.longest_response_gap = max(
            gap, (served.longest_response_gap or 0.0) * GAP_DECAY
        )
    served.awaiting_response_since = None
    served.hold_down_s = 0.0
    served.hold_down_until = NEVER


def _check_mute(served: ServedTarget, now: float) -> bool:
    """Tell whether the upstream has just been found to serve no request."""
    if served.awaiting_response_since is None or served.is_down:
        return False
    gap = (
        UNKNOWN_GAP_S
        if served.longest_response_gap is None
        else served.longest_response_gap
    )
    if now - served.awaiting_response_since < max(MUTE_S, MUTE_FACTOR * gap):
        return False
    served.awaiting_response_since = None
    pause = max(MUTE_PAUSE_S, 2 * served.hold_down_s)
    served.hold_down_s = min(pause, MAX_MUTE_PAUSE_S)
    served.hold_down_until = now + served.hold_down_s
    # Pings find out when it is over.
    served.unanswered_since = now
    served.next_ping_at = now + PING_INTERVAL_S
    served.is_down = True
    served.down_since = now
    return True


def check_upstream(agent: Agent, served: ServedTarget, now: float) -> bool:
    """Ping a silent upstream, and find one that serves no request.

    Returns
    -------
    bool
        Whether the upstream has just been found to be down.
    """
    if served.adapter is not None and _check_mute(served, now):
        return True
    if served.unanswered_since is None or now < served.next_ping_at:
        return False
    if served.adapter is None or _is_left_alone(served):
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


def _is_left_alone(served: ServedTarget) -> bool:
    """Tell whether the upstream's address may be another service's by now."""
    has_work = served.has_flows or served.requests_by_upstream_token
    return served.removed_at is not None and not has_work


def handle_port_closed(served: ServedTarget, now: float) -> bool:
    """Note that the upstream's host reports a closed port.

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
