from os import environ
from pathlib import Path
from random import Random
from sys import modules

import pytest
from hypothesis import HealthCheck, settings

from lycheeglade.agent import make_agent, tick, update_view
from tests.agents import LOCAL_ZONE, ActionRecorder, make_view
from tests.platform_process import restore_hangup_of_children

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]

restore_hangup_of_children()
settings.register_profile(
    "ci", derandomize=True, deadline=None, suppress_health_check=SLOW
)
settings.register_profile(
    "long",
    deadline=None,
    max_examples=int(environ.get("LYCHEEGLADE_EXAMPLES", "2000")),
    stateful_step_count=100,
    suppress_health_check=SLOW,
)
PROFILE = environ.get("HYPOTHESIS_PROFILE", "ci")
settings.load_profile(PROFILE)


def make_machine_settings(max_examples: int, steps: int) -> settings:
    """Return a state machine's settings.

    The long profile overrides the given limits.
    """
    if PROFILE == "long":
        return settings()
    return settings(max_examples=max_examples, stateful_step_count=steps)


def read_known_red() -> list[str]:
    """Return the IDs of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line for line in lines if line and not line.startswith(" ")]


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as expected to fail."""
    known = set(read_known_red())
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="in KNOWN-RED.txt"))


def pytest_terminal_summary(terminalreporter):
    """Print the tests in KNOWN-RED.txt and the measurements of deployments."""
    for name in read_known_red():
        terminalreporter.write_line(f"known red: {name}")
    faults = modules.get("tests.faults")
    if faults is not None and faults.REPORTS_BY_NAME:
        terminalreporter.write_line(faults.format_table())


@pytest.fixture
def recorder():
    return ActionRecorder()


@pytest.fixture
def agent(recorder):
    state = make_agent("h1", LOCAL_ZONE, recorder.actions(), Random(1), 100, 0.0)
    update_view(state, make_view(), 0.0)
    tick(state, 0.0)
    return state
