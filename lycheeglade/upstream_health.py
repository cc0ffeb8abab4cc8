"""Tells whether a target's upstream is up, from what it answers.

An upstream that answers nothing is pinged. One that stays silent, or whose
port is closed, is down: its flows move to other targets until it answers
again. Published health is not consulted, since it lags.
"""

from lycheeglade.agent_state import Agent
from lycheeglade.served_target import MESSAGE_ID_MODULUS, ServedTarget

SILENCE_S = 1.0
PING_INTERVAL_S = 0.5
MIN_PINGS = 3


def send_upstream(
    agent: Agent, served: ServedTarget, datagram: bytes, now: float
) -> None:
    """Send a datagram that the upstream has to answer."""
    if served.unanswered_since is None:
        served.unanswered_since = now
        served.upstream_pings = 0
        served.next_ping_at = now + SILENCE_S
    agent.actions.send_upstream(served.key, None, datagram)


def note_upstream_heard(served: ServedTarget) -> bool:
    """Note any datagram from the upstream.

    Returns
    -------
    bool
        Whether the upstream was down until now.
    """
    was_down = served.is_down
    served.unanswered_since = None
    served.is_down = False
    return was_down


def check_upstream(agent: Agent, served: ServedTarget, now: float) -> bool:
    """Ping a silent upstream.

    Returns
    -------
    bool
        Whether the upstream has just been found to be down.
    """
    if served.unanswered_since is None or now < served.next_ping_at:
        return False
    if served.adapter is None or _is_left_alone(served):
        return False
    served.next_ping_at = now + PING_INTERVAL_S
    served.upstream_pings += 1
    message_id = agent.next_number() % MESSAGE_ID_MODULUS
    agent.actions.send_upstream(served.key, None, served.adapter.write_ping(message_id))
    if served.is_down or served.upstream_pings <= MIN_PINGS:
        return False
    served.is_down = True
    served.down_since = now
    return True


def _is_left_alone(served: ServedTarget) -> bool:
    """Tell whether the upstream's address may be another service's by now."""
    has_work = served.has_flows or served.requests_by_upstream_token
    return served.removed_at is not None and not has_work


def note_port_closed(served: ServedTarget, now: float) -> bool:
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
