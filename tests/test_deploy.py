"""The build makes what the processes import, and only that is required."""

import subprocess
import sys
from importlib.util import cache_from_source
from os import environ, utime
from pathlib import Path
from shutil import copy, copytree, ignore_patterns
from signal import SIGHUP, SIGTERM
from sysconfig import get_config_var, get_path
from tomllib import loads

import pytest

ROOT = Path(__file__).parent.parent
IMPORT_SCRIPT = """
import sys
sys.path[:0] = ["platform"]
import main
import store_reader
import lycheeglade.connection_agent_daemon, lycheeglade.connection_balancer_daemon
from lycheeglade.connection_daemon import EventLog
log = EventLog("s1")
log.record("upstream", 0.01)
log("started")
assert "s1" in log.format()
print(*sorted({name.partition(".")[0] for name in sys.modules}))
"""
OWN_MODULES = {path.stem for path in (ROOT / "platform").glob("*.py")}
# The packages hdrh and pyhdrh belong to hdrhistogram.
OWN_MODULES |= {"lycheeglade", "hdrh", "pyhdrh"}
# Exit code of a role whose imports succeed and that has no settings.
USAGE = 2
WITHOUT_CACHES = ignore_patterns("__pycache__")
FAKE_PIP = """
import sys
from os import environ, getppid, kill
from pathlib import Path
from signal import SIGKILL

target = Path(sys.argv[sys.argv.index("--target") + 1])
target.mkdir(parents=True, exist_ok=True)
with open(environ["PIP_LOG"], "a") as log:
    log.write("install\\n")
patterns = ("h11", "hdrh", "pyhdrh*", "msgspec", "xxhash")
for number, pattern in enumerate(patterns):
    if environ.get("PIP_INTERRUPTED") and number == 2:
        kill(getppid(), SIGKILL)
        kill(0, SIGKILL)
    for source in Path(environ["PIP_SOURCE"]).glob(pattern):
        link = target / source.name
        link.unlink(missing_ok=True)
        link.symlink_to(source)
"""


def read_requirements():
    lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
    return dict(line.split("==") for line in lines)


def test_all_that_is_imported_is_required():
    run = subprocess.run(
        [sys.executable, "-c", IMPORT_SCRIPT], cwd=ROOT, capture_output=True, text=True
    )
    assert run.returncode == 0, run.stderr
    imported = set(run.stdout.split())
    known = set(sys.stdlib_module_names) | OWN_MODULES
    third_party = {name for name in imported - known if not name.startswith("_")}
    # Optional accelerators, and modules that the environment loads at start.
    third_party -= {"typing_extensions", "sitecustomize", "distutils", "pbr"}
    assert third_party <= set(read_requirements()), third_party
    assert "hdrhistogram" in read_requirements()


def test_versions_are_those_of_the_tests():
    locked = dict(
        line.split("==") for line in (ROOT / "requirements.lock").read_text().split()
    )
    for name, version in read_requirements().items():
        assert locked[name] == version


def test_metrics_port_is_the_one_of_the_processes():
    roles = loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    main = (ROOT / "platform" / "main.py").read_text()
    for role in roles.values():
        port, _, path = role["metrics"].partition("/")
        assert f"METRICS_PORT = {port}" in main
        assert path == "metrics"


class Checkout:
    """Copy of the repository that is built with a pip without a network.

    The pip links the packages of the tests' interpreter.
    """

    def __init__(self, folder):
        self.root = folder / "checkout"
        for name in ("deploy", "lycheeglade", "platform"):
            copytree(ROOT / name, self.root / name, ignore=WITHOUT_CACHES)
        self._log = folder / "pip.log"
        self._log.touch()
        commands = folder / "bin"
        commands.mkdir()
        python = commands / "python3"
        self.script_log = folder / "script.log"
        python.write_text(
            f'#!/bin/sh\necho >>{self.script_log}\nexec {sys.executable} "$@"\n'
        )
        python.chmod(0o755)
        modules = folder / "modules"
        modules.mkdir()
        (modules / "pip.py").write_text(FAKE_PIP)
        self._variables = {
            "PATH": f"{commands}:{environ['PATH']}",
            "PYTHONPATH": str(modules),
            "PIP_LOG": str(self._log),
            "PIP_SOURCE": get_path("platlib"),
        }

    @property
    def packages(self):
        return self.root / "target" / "deps"

    @property
    def stamp(self):
        return self.packages / "installed-for.txt"

    @property
    def deploy_file(self):
        return loads((self.root / "deploy" / "system.toml").read_text())

    def build(self, **variables):
        """Run the build command; return its exit code."""
        command = self.deploy_file["build"]
        return subprocess.run(
            ["/bin/sh", "-c", command],
            cwd=self.root,
            env=self._variables | variables,
            start_new_session=True,
        ).returncode

    def count_installations(self):
        return len(self._log.read_text().splitlines())

    def run_role(self):
        """Return the exit code of a role without settings: 2 if it runs."""
        with self.start_role("balancer") as process:
            process.communicate()
        return process.returncode

    def start_role(self, role, **variables):
        """Start a role as the platform does, with a pipe for its output."""
        return subprocess.Popen(
            self.deploy_file["roles"][role]["run"].split(),
            cwd=self.root,
            env={
                "PATH": self._variables["PATH"],
                "PYTHONPATH": "target/deps",
                **variables,
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


@pytest.fixture
def built(checkout):
    """A checkout that was built once."""
    assert checkout.build() == 0
    assert checkout.count_installations() == 1
    assert checkout.run_role() == USAGE
    return checkout


def replace_library(built):
    """Replace a compiled module by one of another machine."""
    library = built.packages / "msgspec"
    source = library.resolve()
    library.unlink()
    copytree(source, library)
    for path in library.glob("*.so"):
        path.write_bytes(b"\x7fELF of another machine")


def test_build_is_reused_without_another_installation(built):
    before = sorted(built.root.rglob("*"))
    assert built.build() == 0
    assert built.count_installations() == 1
    assert sorted(built.root.rglob("*")) == before


def test_build_writes_only_below_target(built):
    original = {path.name for path in (ROOT / "deploy").iterdir()}
    assert {path.name for path in (built.root / "deploy").iterdir()} == original
    top = {path.name for path in built.root.iterdir()}
    assert top == {"deploy", "lycheeglade", "platform", "target"}
    assert {path.name for path in (built.root / "target").iterdir()} == {"bin", "deps"}


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_no_script_runs_before_a_role_handles_signals(role, built, tmp_path):
    # A script has the default action of SIGHUP and ends.
    built.script_log.unlink()
    absent = str(tmp_path / "absent.conf")
    with built.start_role(role, LYCHEEGLADE_CONFIG=absent) as process:
        assert b"event=starting" in process.stdout.readline()
        assert not built.script_log.exists()
        process.send_signal(SIGHUP)
        assert b"event=settings-unreadable" in process.stdout.readline()
        process.send_signal(SIGTERM)
        assert process.wait() == 0


def test_interpreter_of_a_removed_version_is_linked_again(built):
    link = built.root / "target" / "bin" / "python3"
    link.unlink()
    link.symlink_to("/nonexistent/python3")
    assert built.build() == 0
    assert built.count_installations() == 1
    assert built.run_role() == USAGE


def test_compiled_module_of_another_machine_is_installed_again(built):
    replace_library(built)
    assert built.run_role() != USAGE
    assert built.build() == 0
    assert built.count_installations() == 2
    assert built.run_role() == USAGE


@pytest.mark.parametrize("other", ["cpython-311-sparc64-linux-gnu", "cpython-27m"])
def test_folder_for_another_machine_or_python_is_installed_again(built, other):
    stamp = built.stamp.read_text()
    own, _, requirements = stamp.partition("\n")
    assert own == get_config_var("SOABI")
    built.stamp.write_text(f"{other}\n{requirements}")
    assert built.build() == 0
    assert built.count_installations() == 2
    assert built.stamp.read_text() == stamp


def test_interrupted_installation_is_not_taken_for_complete(checkout):
    assert checkout.build(PIP_INTERRUPTED="1") != 0
    assert checkout.run_role() != USAGE
    assert checkout.build() == 0
    assert checkout.count_installations() == 2
    assert checkout.run_role() == USAGE


def test_interrupted_installation_keeps_the_folder_in_use(built):
    replace_requirements(built, "h11==0.1.0")
    assert built.build(PIP_INTERRUPTED="1") != 0
    assert built.run_role() == USAGE


def replace_requirements(built, line):
    """Change the requirements and make their file older than the packages."""
    path = built.root / "deploy" / "requirements.txt"
    path.write_text(f"{path.read_text()}{line}\n")
    utime(path, (0, 0))


def test_changed_requirements_are_installed_whatever_the_times_of_files(built):
    replace_requirements(built, "h11==0.1.0")
    assert built.build() == 0
    assert built.count_installations() == 2
    assert "h11==0.1.0" in built.stamp.read_text()


def test_newer_file_of_the_same_requirements_needs_no_installation(built):
    (built.root / "deploy" / "requirements.txt").touch()
    assert built.build() == 0
    assert built.count_installations() == 1


def test_packages_that_cannot_be_imported_fail_the_build(checkout, tmp_path):
    empty = tmp_path / "empty"
    empty.mkdir()
    assert checkout.build(PIP_SOURCE=str(empty)) == 1
    assert not checkout.packages.exists()


def test_failed_installation_fails_the_build(checkout):
    assert checkout.build(PIP_LOG="/nonexistent/log") != 0
    assert not checkout.packages.exists()


def test_damaged_compiled_module_is_compiled_again(built):
    # A module with a valid header and no code, as after a loss of power.
    source = built.root / "lycheeglade" / "connection_daemon.py"
    compiled = Path(cache_from_source(str(source)))
    compiled.write_bytes(compiled.read_bytes()[:20])
    assert built.run_role() != USAGE
    assert built.build() == 0
    assert built.run_role() == USAGE
    assert built.count_installations() == 1


def test_modules_that_cannot_be_compiled_into_files_do_not_fail_the_build(checkout):
    (checkout.root / "platform" / "__pycache__").write_text("not a folder")
    assert checkout.build() == 0
    assert checkout.run_role() == USAGE


FAKE_PYTHON = """#!/bin/sh
if [ "$1 $2" = "-m venv" ]; then
    for folder; do :; done
    echo venv >>"$SETUP_LOG"
    rm -rf "$folder"
    mkdir -p "$folder/bin"
    cp "$0" "$folder/bin/python"
    [ "$INTERRUPTED" = venv ] && kill -KILL $PPID && exit
    printf '#!/bin/sh\\nexec "%s" -m pip "$@"\\n' "$PWD/$folder/bin/python" \\
        >"$folder/bin/pip"
    chmod +x "$folder/bin/pip"
elif [ "$1 $2" = "-m pip" ]; then
    echo pip >>"$SETUP_LOG"
    [ "$INTERRUPTED" = pip ] && kill -KILL $PPID && exit
    exit 0
else
    exec INTERPRETER "$@"
fi
"""
SETUP_STEPS = ["venv", "pip", "pip"]


class Setup:
    """Copy of the Makefile that is run with a Python that only logs."""

    def __init__(self, folder):
        self._folder = folder
        self.root = folder / "checkout"
        self.root.mkdir()
        for name in ("Makefile", "requirements.lock", "pyproject.toml"):
            copy(ROOT / name, self.root / name)
        self.ready = self.root / ".venv" / ".ready"
        (folder / "bin").mkdir()
        python = folder / "bin" / "python3"
        python.write_text(FAKE_PYTHON.replace("INTERPRETER", sys.executable))
        python.chmod(0o755)

    def make(self, interrupted=""):
        """Run ``make setup``; return the steps that it took."""
        log = self._folder / "setup.log"
        log.write_text("")
        run = subprocess.run(
            ["make", "--silent", "setup"],
            cwd=self.root,
            env={
                "PATH": f"{self._folder / 'bin'}:{environ['PATH']}",
                "SETUP_LOG": str(log),
                "INTERRUPTED": interrupted,
            },
        )
        assert (run.returncode != 0) is bool(interrupted)
        return log.read_text().split()


@pytest.fixture
def setup(tmp_path):
    return Setup(tmp_path)


@pytest.fixture
def complete(setup):
    """A copy whose setup is complete."""
    assert setup.make() == SETUP_STEPS
    return setup


def test_complete_setup_is_reused(complete):
    assert complete.make() == []


@pytest.mark.parametrize("step", ["venv", "pip"])
def test_interrupted_setup_is_not_taken_for_complete(setup, step):
    setup.make(interrupted=step)
    assert setup.make() == SETUP_STEPS


def test_environment_of_another_machine_or_python_is_made_anew(complete):
    own = get_config_var("SOABI")
    complete.ready.write_text(complete.ready.read_text().replace(own, "cpython-27m"))
    assert complete.make() == SETUP_STEPS
    assert own in complete.ready.read_text()


def test_environment_whose_interpreter_does_not_run_is_made_anew(complete):
    interpreter = complete.root / ".venv" / "bin" / "python"
    interpreter.write_bytes(b"\x7fELF of another machine")
    assert complete.make() == SETUP_STEPS


def test_environment_that_was_moved_is_made_anew(complete):
    complete.root = complete.root.rename(complete.root.with_name("moved"))
    assert complete.make() == SETUP_STEPS


@pytest.mark.parametrize("name", ["requirements.lock", "pyproject.toml"])
def test_changed_requirements_are_set_up_whatever_the_times_of_files(complete, name):
    path = complete.root / name
    path.write_text(path.read_text() + "\n# Changed\n")
    utime(path, (0, 0))
    assert complete.make() == SETUP_STEPS
