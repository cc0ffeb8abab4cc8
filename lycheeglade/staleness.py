"""Lets an agent that was paused wait until it has read its view again."""

from collections.abc import Callable

from lycheeglade.agent_state import Agent

PAUSE_S = 2.0
MAX_HELD_DATAGRAMS = 4096


def must_wait(agent: Agent, now: float) -> bool:
    """Tell whether the view has to be read again before anything is decided.

    A gap since the last tick means that this process was paused. What it
    knew may be forbidden by now.
    """
    if agent.last_tick_at is not None and now - agent.last_tick_at > PAUSE_S:
        agent.is_stale = True
    return agent.is_stale


def hold(agent: Agent, action: Callable[[float], None]) -> None:
    """Keep what arrived until the view was read again, up to a bound."""
    if len(agent.held) < MAX_HELD_DATAGRAMS:
        agent.held.append(action)
    else:
        agent.actions.count("dropped", "", "stale-view")


def note_view_age(agent: Agent, is_fresh: bool, now: float) -> None:
    """Note whether this process has lately asked for a newer view."""
    if must_wait(agent, now) and is_fresh:
        agent.is_stale = False
        agent.last_tick_at = now
        held = list(agent.held)
        agent.held.clear()
        for action in held:
            action(now)
