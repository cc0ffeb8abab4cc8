"""A disturbance of one part, at any moment, doesn't end the process."""

from pathlib import Path
from signal import SIGHUP, SIGINT, SIGTERM
from subprocess import PIPE, Popen
from sys import executable
from time import monotonic, sleep

import pytest

from lycheeglade.generator import generate_files
from tests.test_daemon import EXAMPLE, NETWORK, TIMEOUT_S, read_until

ROLES = [("balancer", "nadi-a-balancer-1"), ("agent", "nadi-a-booth-sync-1")]
EXIT_OK = 0


@pytest.fixture
def settings_folder(tmp_path):
    """Generate the example's settings; return their folder."""
    answers = tmp_path / "answers.ini"
    answers.write_text(EXAMPLE.read_text().replace("127.20.", f"127.{NETWORK}."))
    generate_files(answers, tmp_path)
    return tmp_path / "settings"


@pytest.fixture
def start(settings_folder):
    """Return a function that starts a process without a platform."""
    processes = []

    def start_process(role, host, *options, redirections="", **arguments):
        settings = settings_folder / f"{host}.ini"
        command = [executable, "-m", "lycheeglade", role, "-c", str(settings)]
        command += options
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


def wait_for_start(process):
    """Wait until the process has replaced the handlers of its start."""
    sleep(2.0)
    assert process.poll() is None


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
def test_closed_standard_streams_do_not_end_the_process(start, redirections):
    process = start(*ROLES[0], redirections=redirections)
    wait_for_start(process)
    links = Path(f"/proc/{process.pid}/fd")
    standard = {str((links / str(number)).readlink()) for number in range(3)}
    assert not any(link.startswith(("socket:", "anon_inode:")) for link in standard)
    stop(process)
