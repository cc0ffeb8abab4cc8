"""Lets an agent that was paused wait until it has read its view again."""

from collections.abc import Callable

from lycheeglade.agent_state import Agent

PAUSE_S = 2.0
MAX_HELD_DATAGRAMS = 4096


def detect_stale_view(agent: Agent, now: float) -> bool:
    """Tell whether the view has to be read again before anything is decided.

    A gap since the last tick means that this process was paused. What it
    knew may be forbidden by now.
    """
    if agent.last_tick_at is not None and now - agent.last_tick_at > PAUSE_S:
        agent.is_view_stale = True
    return agent.is_view_stale


def defer_input(agent: Agent, action: Callable[[float], None]) -> None:
    """Keep what arrived until the view was read again, up to a bound."""
    if len(agent.deferred_inputs) < MAX_HELD_DATAGRAMS:
        agent.deferred_inputs.append(action)
    else:
        agent.actions.count("dropped", "", "stale-view")


def update_view_freshness(agent: Agent, is_fresh: bool, now: float) -> None:
    """Note whether this process has lately asked for a newer view."""
    if detect_stale_view(agent, now) and is_fresh:
        agent.is_view_stale = False
        agent.last_tick_at = now
        held = list(agent.deferred_inputs)
        agent.deferred_inputs.clear()
        for action in held:
            action(now)
