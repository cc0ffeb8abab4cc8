"""A disturbance of one part, at any moment, doesn't end the process."""

from asyncio import run
from contextlib import suppress
from copy import copy
from dataclasses import replace
from os import close, pipe, set_blocking, write
from pathlib import Path
from random import Random
from resource import RLIMIT_NOFILE, prlimit
from signal import SIGHUP, SIGINT, SIGTERM
from socket import create_connection
from subprocess import PIPE, Popen
from sys import executable
from time import monotonic, sleep

import pytest

from lycheeglade.agent import make_agent, tick, update_view
from lycheeglade.configuration import parse_hosts
from lycheeglade.daemon import MAX_RETRY_VIEW_S, MIN_RETRY_VIEW_S, ViewApplier
from lycheeglade.failures import FailureLog
from lycheeglade.histograms import Metrics
from lycheeglade.recorder import Recorder
from lycheeglade.recording import Tick
from lycheeglade.served_target import TargetKey
from lycheeglade.settings import load_settings
from lycheeglade.spread import Snapshot, merge_values
from lycheeglade.status import StatusError, fetch_status
from lycheeglade.timer import TimerQueue
from lycheeglade.trace_writer import Stream, TraceWriter
from lycheeglade.value import Value
from lycheeglade.view import View
from tests.agents import LOCAL_ZONE, make_view
from tests.test_daemon import TIMEOUT_S, read_until, settings_folder

__all__ = ["settings_folder"]

ROLES = [("balancer", "nadi-a-balancer-1"), ("agent", "nadi-a-booth-sync-1")]
EXIT_OK = 0
SABOTAGE = """
import sys
from asyncio import CancelledError
from importlib import import_module
from lycheeglade.__main__ import main

def fail(module, path, error, calls):
    owner = import_module(module)
    *outer, name = path.split(".")
    for each in outer:
        owner = getattr(owner, each)
    original = getattr(owner, name)
    made = 0

    def sabotaged(*arguments, **options):
        nonlocal made
        made += 1
        if made in calls:
            raise error("sabotage")
        return original(*arguments, **options)

    setattr(owner, name, sabotaged)

"""


@pytest.fixture
def start(settings_folder):
    """Return a function that starts a process without a platform."""
    processes = []

    def start_process(role, host, *options, redirections="", sabotage="", **arguments):
        settings = settings_folder / f"{host}.ini"
        program = ["-m", "lycheeglade"]
        if sabotage:
            program = ["-c", f"{SABOTAGE}{sabotage}\nsys.exit(main())"]
        command = [executable, *program, role, "-c", str(settings), *options]
        if redirections:
            command = ["/bin/sh", "-c", f'exec "$0" "$@" {redirections}', *command]
        arguments = {"stderr": PIPE, "text": True} | arguments
        process = Popen(command, **arguments)
        processes.append(process)
        return process

    yield start_process
    for process in processes:
        process.kill()
        process.communicate()


def wait_for_signal_mask(process, field, number):
    """Wait until the process ignores (SigIgn) or handles (SigCgt) a signal."""
    deadline = monotonic() + TIMEOUT_S
    while monotonic() < deadline:
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name == field and int(value, 16) >> number - 1 & 1:
                return
        sleep(0.001)
    raise AssertionError(f"{field} never holds signal {number}")


def wait_for_status(settings_folder):
    """Return the status of the balancer once it answers."""
    settings = load_settings(settings_folder / f"{ROLES[0][1]}.ini")
    deadline = monotonic() + TIMEOUT_S
    while True:
        try:
            return run(fetch_status(settings.operators))
        except StatusError:
            assert monotonic() < deadline
            sleep(0.1)


def stop(process):
    """Stop a process, which ends with 0; return the rest of its log."""
    process.send_signal(SIGTERM)
    _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == EXIT_OK
    return log


@pytest.mark.parametrize(("role", "host"), ROLES)
def test_hangup_ends_no_process_at_any_moment(start, role, host):
    process = start(role, host)
    wait_for_signal_mask(process, "SigIgn", SIGHUP)
    process.send_signal(SIGHUP)
    assert " event=started " in read_until(process, " event=started ")
    process.send_signal(SIGHUP)
    sleep(0.3)
    assert " event=stopped cut=0" in stop(process)


@pytest.mark.parametrize("number", [SIGTERM, SIGINT])
@pytest.mark.parametrize(("role", "host"), ROLES)
def test_stop_signal_during_the_start_ends_the_process_with_0(
    start, role, host, number
):
    process = start(role, host)
    # Python itself handles SIGINT before the process does.
    wait_for_signal_mask(process, "SigCgt", SIGTERM)
    sleep(0.02)
    process.send_signal(number)
    _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == EXIT_OK
    assert " event=started " not in log


@pytest.mark.parametrize("redirections", ["<&- >&- 2>&-", ">&-", "2>&-"])
def test_closed_standard_streams_do_not_end_the_process(
    start, settings_folder, redirections
):
    process = start(*ROLES[0], redirections=redirections)
    wait_for_status(settings_folder)
    links = Path(f"/proc/{process.pid}/fd")
    standard = {str((links / str(number)).readlink()) for number in range(3)}
    assert not any(link.startswith(("socket:", "anon_inode:")) for link in standard)
    stop(process)


def fail(module, path, error="ValueError", calls="range(1, 4)"):
    """Return a statement that makes calls of a function raise an error."""
    return f"fail('lycheeglade.{module}', {path!r}, {error}, {calls})"


GOSSIP_FAILURES = [
    ("gossip-serve", "serve", "ValueError"),
    ("gossip-round", "exchange_in_rounds", "CancelledError"),
    ("gossip-round", "_exchange_once", "ValueError"),
    ("gossip-round", "_exchange_once", "MemoryError"),
    ("gossip-pull", "pull_when_behind", "ValueError"),
    ("gossip-push", "push_announcements", "ValueError"),
    ("platform", "watch_platform", "ValueError"),
    ("platform", "_read_changes", "MemoryError"),
]


@pytest.mark.parametrize(("part", "method", "error"), GOSSIP_FAILURES)
def test_failure_of_a_background_task_does_not_end_the_process(
    start, part, method, error
):
    sabotage = fail("gossip", f"ConfigurationFollower.{method}", error, "(1, 2)")
    process = start(*ROLES[0], sabotage=sabotage)
    log = read_until(process, f" event=part-failed part={part} ")
    sleep(1.0)
    log += stop(process)
    assert f' reason="{error}(' in log
    assert " event=stopped cut=0" in log


@pytest.mark.parametrize(("role", "host"), ROLES)
@pytest.mark.parametrize("error", ["ValueError", "MemoryError"])
def test_failure_of_ticks_does_not_end_the_process(start, role, host, error):
    sabotage = fail(role, "tick", error, "range(1, 30)")
    process = start(role, host, sabotage=sabotage)
    log = read_until(process, " event=nobody-heard ")
    sleep(1.0)
    log += stop(process)
    assert log.count(" event=part-failed part=tick ") == 1
    assert " event=stopped cut=0" in log


def test_failure_of_the_drain_does_not_end_the_process_early(start):
    process = start(*ROLES[1], sabotage=fail("agent", "begin_stop"))
    read_until(process, " event=nobody-heard ")
    log = stop(process)
    assert " event=part-failed part=stop " in log
    assert " event=stopped cut=0" in log


def test_value_whose_parser_fails_does_not_keep_back_the_others(monkeypatch):
    def parse(text, source):
        if "poison" in text:
            raise RuntimeError("undeclared")
        return parse_hosts(text, source)

    monkeypatch.setattr("lycheeglade.value.parse_hosts", parse)
    poisoned = Value("hosts/fiji/a", 1, "poison")
    valid = Value("hosts/fiji/b", 2, "")
    merged = merge_values(Snapshot(), [poisoned, valid], 2)
    assert merged.snapshot.values_by_name == {valid.name: valid}
    assert merged.snapshot.refused_by_name == {poisoned.name: 1}
    assert [str(error) for error in merged.errors] == [
        "hosts/fiji/a: [-] value: RuntimeError('undeclared')"
    ]


def test_value_is_not_refused_because_memory_is_used_up(monkeypatch):
    def parse(text, source):
        raise MemoryError

    monkeypatch.setattr("lycheeglade.value.parse_hosts", parse)
    with pytest.raises(MemoryError):
        merge_values(Snapshot(), [Value("hosts/fiji/a", 1, "")], 1)


def test_failing_timer_does_not_discard_the_timers_after_it():
    called = []

    def fail_once(now):
        called.append("failed")
        raise ValueError("sabotage")

    timers = TimerQueue()
    timers.call_at(1.0, lambda now: called.append("first"))
    timers.call_at(2.0, fail_once)
    timers.call_at(3.0, lambda now: called.append("last"))
    with pytest.raises(ValueError, match="sabotage"):
        timers.run_due(5.0)
    timers.run_due(5.0)
    assert called == ["first", "failed", "last"]
    assert not timers


def test_check_of_a_target_that_fails_does_not_prevent_the_others(agent, monkeypatch):
    served = agent.served_by_key[TargetKey("booth-sync", "t1")]
    agent.served_by_key[TargetKey("booth-sync", "t2")] = copy(served)
    checked = []

    def check(agent, target, now):
        checked.append(target)
        if len(checked) == 1:
            raise ValueError("sabotage")
        return False

    monkeypatch.setattr("lycheeglade.agent.check_upstream", check)
    with pytest.raises(ExceptionGroup) as raised:
        tick(agent, 1.0)
    assert str(raised.value.exceptions[0]) == "sabotage"
    assert len(checked) == 2


def test_view_that_could_not_be_applied_is_applied_at_the_next_attempt(recorder):
    agent = make_agent("h1", LOCAL_ZONE, recorder.actions(), Random(1), 100, 0.0)
    count, agent.actions = agent.actions.count, replace(agent.actions, count=fail_call)
    view = make_view()
    with pytest.raises(ValueError, match="sabotage"):
        update_view(agent, view, 0.0)
    agent.served_by_key.clear()
    agent.actions = replace(agent.actions, count=count)
    update_view(agent, view, 1.0)
    assert list(agent.served_by_key) == [TargetKey("booth-sync", "t1")]


def fail_call(*arguments):
    raise ValueError("sabotage")


def test_failed_step_of_a_view_is_repeated_and_the_others_are_not():
    calls = []

    def apply(view):
        calls.append(("core", view.revision))
        if len(calls) < 4:
            raise ValueError("sabotage")

    steps = {"view": apply, "sockets": lambda view: calls.append(("sockets", 1))}
    metrics = Metrics()
    applier = ViewApplier(steps, FailureLog(metrics))
    applier.apply(View(revision=1), 10.0)
    assert calls == [("core", 1), ("sockets", 1)]
    applier.retry(10.0 + MIN_RETRY_VIEW_S / 2)
    assert len(calls) == 2
    for attempt in range(1, 100):
        applier.retry(10.0 + attempt * MAX_RETRY_VIEW_S)
    assert calls[2:] == [("core", 1)] * 2
    assert metrics.counter("failure", "", "view") == 2


@pytest.mark.parametrize(("role", "host"), ROLES)
def test_view_that_fails_once_is_applied_again_by_the_process(start, role, host):
    process = start(role, host, sabotage=fail(role, "update_view", calls="(1, 2)"))
    log = read_until(process, " event=part-failed part=view ")
    sleep(1.5)
    log += stop(process)
    assert " event=stopped cut=0" in log


def test_full_standard_error_does_not_stop_the_process(start, settings_folder):
    read_end, write_end = pipe()
    set_blocking(write_end, False)
    with suppress(BlockingIOError):
        while True:
            write(write_end, b"x" * 4096)
    set_blocking(write_end, True)
    process = start(*ROLES[0], stderr=write_end)
    assert wait_for_status(settings_folder)["lost_log_lines"] > 0
    process.send_signal(SIGTERM)
    assert process.wait(TIMEOUT_S) == EXIT_OK
    close(read_end)
    close(write_end)


def test_standard_error_without_a_reader_does_not_end_the_process(
    start, settings_folder
):
    read_end, write_end = pipe()
    close(read_end)
    process = start(*ROLES[0], stderr=write_end)
    close(write_end)
    wait_for_status(settings_folder)
    process.send_signal(SIGTERM)
    assert process.wait(TIMEOUT_S) == EXIT_OK


def test_used_up_descriptors_do_not_end_the_process(start, settings_folder):
    process = start(*ROLES[0])
    wait_for_status(settings_folder)
    limits = prlimit(process.pid, RLIMIT_NOFILE)
    used = {int(each.name) for each in Path(f"/proc/{process.pid}/fd").iterdir()}
    prlimit(process.pid, RLIMIT_NOFILE, (min(used), limits[1]))
    settings = load_settings(settings_folder / f"{ROLES[0][1]}.ini")
    for _ in range(3):
        with suppress(OSError), create_connection(settings.operators, 1.0) as client:
            client.sendall(b"GET /status HTTP/1.0\r\n\r\n")
            client.recv(1)
    sleep(4.0)
    prlimit(process.pid, RLIMIT_NOFILE, limits)
    wait_for_status(settings_folder)
    assert " event=stopped cut=0" in stop(process)


async def test_trace_continues_after_an_undeclared_error():
    sent = []
    errors = [ValueError("sabotage"), MemoryError("sabotage")]

    async def open_stream():
        if errors:
            raise errors.pop()
        return Stream(send, lambda: None)

    async def send(data):
        sent.append(data)

    async def pause(seconds):
        writer.finish()

    writer = TraceWriter(open_stream, lambda lines: None, pause=pause)
    writer.start(b"header\n")
    writer.write(b"line\n", 1.0)
    await writer.run()
    assert sent == [b"header\n", b"line\n"]


@pytest.mark.parametrize("failing", ["describe", "write"])
def test_failure_of_the_recorder_does_not_fail_what_it_records(failing):
    called, failed = [], []

    def describe(*arguments, **result):
        raise ValueError("sabotage")

    def write_line(line, now):
        raise MemoryError("sabotage")

    recorder = Recorder(
        write_line, is_whole=True, on_failure=lambda error, now: failed.append(now)
    )
    describers = {"describe": describe, "write": lambda *_, **__: Tick(at=1.0)}
    record = recorder._record_call(called.append, describers[failing])
    record(1.0)
    assert (called, failed) == ([1.0], [1.0])
