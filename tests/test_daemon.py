from asyncio import create_task, sleep
from logging import getLogger
from pathlib import Path
from signal import SIGTERM, raise_signal
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from subprocess import PIPE, Popen, TimeoutExpired
from sys import executable

import pytest

from demo.cluster import reserve_network_for_process
from lycheeglade.blackboard import Blackboard
from lycheeglade.daemon import ProcessParts, run_process
from lycheeglade.failures import FailureLog
from lycheeglade.generator import generate_files
from lycheeglade.histograms import Metrics
from lycheeglade.recording import parse_recording
from lycheeglade.replay_recording import replay_recording
from lycheeglade.settings import load_settings
from lycheeglade.status import fetch_status

EXAMPLE = Path(__file__).parent.parent / "examples" / "reelbure.ini"
NETWORK = reserve_network_for_process()
BALANCER_IP = f"127.{NETWORK}.1.1"
TIMEOUT_S = 20


@pytest.fixture
def settings_folder(tmp_path):
    """Generate the example's settings; return their folder."""
    answers = tmp_path / "answers.ini"
    answers.write_text(EXAMPLE.read_text().replace("127.20.", f"127.{NETWORK}."))
    generate_files(answers, tmp_path)
    return tmp_path / "settings"


@pytest.fixture
def start(settings_folder):
    """Return a function that starts a process of the example.

    The processes run without a platform.
    """
    processes = []

    def start_process(role, host, *options):
        settings = settings_folder / f"{host}.ini"
        command = [executable, "-m", "lycheeglade", role, "-c", str(settings)]
        output = PIPE if options else None
        process = Popen([*command, *options], stdout=output, stderr=PIPE, text=True)
        processes.append(process)
        return process

    yield start_process
    for process in processes:
        process.kill()
        process.wait()
        process.stderr.close()
        if process.stdout is not None:
            process.stdout.close()


def read_until(process, marker):
    """Return a process's log up to the first line that contains `marker`."""
    lines = []
    for line in process.stderr:
        lines.append(line)
        if marker in line:
            break
    return "".join(lines)


@pytest.mark.parametrize(
    ("role", "host"),
    [("balancer", "nadi-a-balancer-1"), ("agent", "nadi-a-booth-sync-1")],
)
def test_process_waits_for_a_platform_that_is_down(start, role, host):
    process = start(role, host)
    log = read_until(process, " event=platform-unread ")
    assert " event=started " in log
    with pytest.raises(TimeoutExpired):
        process.wait(timeout=2)
    process.send_signal(SIGTERM)
    _, rest = process.communicate(timeout=TIMEOUT_S)
    log += rest
    assert process.returncode == 0
    assert " event=stopped cut=0" in log
    assert " level=error " not in log
    assert " event=message " not in log


@pytest.mark.parametrize(
    ("role", "host", "options"),
    [
        ("balancer", "nadi-a-balancer-1", []),
        ("agent", "nadi-a-booth-sync-1", ["--trace-payloads"]),
    ],
)
def test_standard_output_holds_the_trace_and_nothing_else(start, role, host, options):
    process = start(role, host, "--trace", "-", *options)
    read_until(process, " event=started ")
    with pytest.raises(TimeoutExpired):
        process.wait(timeout=2)
    process.send_signal(SIGTERM)
    text, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0
    assert " event=stopped cut=0" in log
    assert '"kind"' not in log
    recording = parse_recording(text, host)
    assert recording.header.role == role
    assert recording.header.is_whole is bool(options)
    assert replay_recording(recording).checked == len(recording.lines) > 10


def test_process_runs_on_while_nobody_takes_its_trace(start):
    process = start("balancer", "nadi-a-balancer-1", "--trace", f"{BALANCER_IP}:9")
    log = read_until(process, " event=trace-unopened ")
    with pytest.raises(TimeoutExpired):
        process.wait(timeout=1)
    process.send_signal(SIGTERM)
    _, rest = process.communicate(timeout=TIMEOUT_S)
    log += rest
    assert process.returncode == 0
    assert log.count(" event=trace-unopened ") == 1
    assert " event=stopped cut=0" in log


@pytest.mark.parametrize(
    ("kind", "port"), [(SOCK_DGRAM, 7100), (SOCK_STREAM, 7200), (SOCK_STREAM, 7300)]
)
def test_address_in_use_is_told_in_one_line(start, kind, port):
    with socket(AF_INET, kind) as other:
        other.bind((BALANCER_IP, port))
        if kind == SOCK_STREAM:
            other.listen()
        process = start("balancer", "nadi-a-balancer-1")
        _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 1
    last = log.splitlines()[-1]
    assert BALANCER_IP in last
    assert str(port) in last
    assert "in use" in last.lower()
    assert " level=error " not in log
    assert "Traceback" not in log


async def test_status_tells_that_a_shutdown_has_begun(settings_folder):
    settings = load_settings(settings_folder / "nadi-a-balancer-1.ini")
    work = [1]
    parts = ProcessParts(
        tick=lambda now: None,
        begin_stop=lambda now: None,
        count_pending_work=lambda now: work[0],
        describe=lambda: {"role": "balancer"},
    )
    metrics = Metrics()
    process = create_task(
        run_process(
            settings,
            Blackboard(),
            metrics,
            FailureLog(metrics),
            parts,
            getLogger("lycheeglade"),
        )
    )
    await sleep(0.5)
    before = await fetch_status(settings.operators)
    raise_signal(SIGTERM)
    await sleep(0.5)
    after = await fetch_status(settings.operators)
    work[0] = 0
    assert await process == 0
    assert (before["stopping"], after["stopping"]) == (False, True)
