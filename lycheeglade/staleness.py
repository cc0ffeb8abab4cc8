"""Defers inputs of a paused agent until its view is fresh again."""

from collections.abc import Callable

from lycheeglade.agent_state import Agent

PAUSE_S = 2.0
MAX_DEFERRED_INPUTS = 4096


def detect_stale_view(agent: Agent, now: float) -> bool:
    """Mark the view as stale after a pause, and return whether it is stale.

    A gap of more than `PAUSE_S` seconds since the last tick means that the
    process was paused. The agent must not decide on a stale view, since a
    newer one may forbid what the stale one permits.
    """
    if agent.last_tick_at is not None and now - agent.last_tick_at > PAUSE_S:
        agent.is_view_stale = True
    return agent.is_view_stale


def defer_input(agent: Agent, handle_input: Callable[[float], None]) -> None:
    """Defer an input until the view is fresh, or drop it at the bound."""
    if len(agent.deferred_inputs) < MAX_DEFERRED_INPUTS:
        agent.deferred_inputs.append(handle_input)
    else:
        agent.actions.count("dropped", "", "stale-view")


def update_view_freshness(agent: Agent, is_fresh: bool, now: float) -> None:
    """Record whether the view is fresh; if so, handle the deferred inputs."""
    if detect_stale_view(agent, now) and is_fresh:
        agent.is_view_stale = False
        agent.last_tick_at = now
        inputs = list(agent.deferred_inputs)
        agent.deferred_inputs.clear()
        for handle_input in inputs:
            handle_input(now)
