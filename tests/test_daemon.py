from os import getpid
from pathlib import Path
from signal import SIGTERM
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from subprocess import PIPE, Popen, TimeoutExpired
from sys import executable

import pytest

from lycheeglade.generator import generate_files

EXAMPLE = Path(__file__).parent.parent / "examples" / "reelbure.ini"
NETWORK = 100 + getpid() % 100
BALANCER_IP = f"127.{NETWORK}.1.1"
TIMEOUT_S = 20


@pytest.fixture
def start(tmp_path):
    """Start a process of the example by role; no platform answers it."""
    answers = tmp_path / "answers.ini"
    answers.write_text(EXAMPLE.read_text().replace("127.20.", f"127.{NETWORK}."))
    generate_files(answers, tmp_path)
    processes = []

    def start_process(role, host):
        settings = tmp_path / "settings" / f"{host}.ini"
        command = [executable, "-m", "lycheeglade", role, "-c", str(settings)]
        processes.append(Popen(command, stderr=PIPE, text=True))
        return processes[-1]

    yield start_process
    for process in processes:
        process.kill()
        process.wait()
        process.stderr.close()


@pytest.mark.parametrize(
    ("role", "host"),
    [("balancer", "nadi-a-balancer-1"), ("agent", "nadi-a-booth-sync-1")],
)
def test_process_waits_for_a_platform_that_is_down(start, role, host):
    process = start(role, host)
    with pytest.raises(TimeoutExpired):
        process.wait(timeout=5)
    process.send_signal(SIGTERM)
    _, log = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0
    assert " event=platform-unread " in log
    assert " event=stopped cut=0" in log
    assert " level=error " not in log
    assert " event=message " not in log


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
