"""The deployed requirements match the imports of the processes."""

import subprocess
import sys
from pathlib import Path
from tomllib import loads

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
