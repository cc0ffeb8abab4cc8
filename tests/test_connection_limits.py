import subprocess
import sys
from pathlib import Path

import pytest

from lycheeglade.address import Address
from lycheeglade.connection_agent import receive_message
from lycheeglade.connection_limits import (
    DEFAULT_LIMITS,
    ConnectionLimits,
    load_limits,
)
from lycheeglade.connection_load import report_load
from lycheeglade.errors import ConfigurationError
from lycheeglade.relay_message import LoadReport, LoadRequest
from tests.connections import BALANCER, AgentRecorder
from tests.platform_process import PATH_VARIABLE, format_settings

ROOT = Path(__file__).parent.parent


def write_limits(tmp_path, text):
    path = tmp_path / "limits.ini"
    path.write_text(text)
    return str(path)


def test_options_replace_their_defaults_only(tmp_path):
    path = write_limits(tmp_path, "[limits]\nreports_per_s = 400\n")
    assert load_limits(path) == ConnectionLimits(reports_per_s=400.0)
    assert load_limits(write_limits(tmp_path, "[limits]\n")) == DEFAULT_LIMITS


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ("relayed_queries = 0", "[limits] relayed_queries: 0 is not in 1..1000"),
        ("reports_per_s = many", "[limits] reports_per_s: 'many' is not a number"),
        ("report_interval = 1", "[limits] report_interval: is unknown; did you mean"),
    ],
)
def test_bad_value_is_refused_at_the_start(tmp_path, line, reason):
    path = write_limits(tmp_path, f"[limits]\n{line}\n")
    with pytest.raises(ConfigurationError) as error:
        load_limits(path)
    assert reason in str(error.value.exceptions[0])
    settings = tmp_path / "settings.conf"
    store = Address("127.8.9.1", 9)
    settings.write_text(format_settings("a", "agent", "127.8.9.2", store, "s1"))
    run = subprocess.run(
        [sys.executable, str(ROOT / "platform" / "main.py"), "agent", path],
        env={PATH_VARIABLE: str(settings)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert run.returncode == 2
    assert reason in run.stderr
    assert len(run.stderr.splitlines()) == 1


def test_reports_get_rarer_as_balancers_become_more():
    counts = {}
    for balancers in (5, 60):
        recorder = AgentRecorder()
        agent = recorder.make()
        for number in range(balancers):
            balancer = BALANCER._replace(ip=f"10.9.0.{number + 1}")
            receive_message(agent, LoadRequest(1), balancer, 0.0)
        recorder.sent.clear()
        for step in range(100):
            report_load(agent, 0.02 * (step + 1))
        reports = [m for _, m in recorder.sent if isinstance(m, LoadReport)]
        counts[balancers] = len(reports) / 2.0
    assert counts[60] <= DEFAULT_LIMITS.reports_per_s
    assert counts[5] <= 5 / DEFAULT_LIMITS.report_interval_s


def test_balancers_of_other_zones_get_rarer_reports():
    """With 59 balancers, most reports would cross zones."""
    recorder = AgentRecorder()
    agent = recorder.make()
    near = [BALANCER._replace(ip=f"10.9.0.{number}") for number in range(10)]
    far = [BALANCER._replace(ip=f"10.9.1.{number}") for number in range(49)]
    for step in range(200):
        now = 0.02 * (step + 1)
        for balancer in near if step % 25 == 0 else ():
            receive_message(agent, LoadRequest(1), balancer, now)
        for balancer in far if step % 50 == 0 else ():
            receive_message(agent, LoadRequest(1, is_near=False), balancer, now)
        report_load(agent, now)
    reports = [a for a, m in recorder.sent if isinstance(m, LoadReport)]
    assert reports.count(near[0]) / 4.0 >= 2.0
    # Those that ask once a second get an answer, and no more.
    assert reports.count(far[0]) == 4


def test_few_balancers_of_other_zones_get_reports_as_often_as_before():
    recorder = AgentRecorder()
    agent = recorder.make()
    for number in range(4):
        balancer = BALANCER._replace(ip=f"10.9.1.{number}")
        receive_message(agent, LoadRequest(1, is_near=False), balancer, 0.0)
    recorder.sent.clear()
    for step in range(100):
        agent.last_report = None
        report_load(agent, 0.02 * (step + 1))
    assert len(recorder.sent) / 4 / 2.0 >= 0.9 / DEFAULT_LIMITS.report_interval_s
