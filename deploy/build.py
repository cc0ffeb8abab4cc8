"""Installs the required packages in target/deps and compiles the modules.

Run as ``python3 deploy/build.py``, with the Python of the processes, which
they start through a link, target/bin/python3. Packages are kept, without use
of the network, if their installation finished for this kind of machine, this
version of Python and these requirements, and if the processes can import them.
"""

import sys
from compileall import compile_dir
from os import environ, pathsep
from os.path import realpath
from pathlib import Path
from shutil import rmtree
from subprocess import PIPE, STDOUT, run
from sysconfig import get_config_var

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
INTERPRETER = ROOT / "target" / "bin" / "python3"
PACKAGES = ROOT / "target" / "deps"
# Renamed to PACKAGES when the installation is complete.
UNFINISHED = ROOT / "target" / "deps-unfinished"
STAMP_NAME = "installed-for.txt"
IMPORT_SCRIPT = """
import main, store_reader, catalog, lycheeglade.histograms
import lycheeglade.connection_balancer_daemon, lycheeglade.connection_agent_daemon
"""


def link_interpreter() -> None:
    """Link the interpreter itself under the name that the processes use.

    The ``python3`` in the search path may be a script. A signal would end the
    process while the script runs, before the program can handle it.
    """
    INTERPRETER.parent.mkdir(parents=True, exist_ok=True)
    INTERPRETER.unlink(missing_ok=True)
    INTERPRETER.symlink_to(realpath(sys.executable))


def describe_installation() -> str:
    """Return what the installed files depend on.

    The first line names the version of Python, the processor and the C
    library, such as ``cpython-311-aarch64-linux-gnu``.
    """
    return f"{get_config_var('SOABI')}\n{REQUIREMENTS.read_text()}"


def find_fault(packages: Path) -> str:
    """Return why `packages` can't be used, or an empty string."""
    try:
        stamp = (packages / STAMP_NAME).read_bytes()
    except OSError:
        return "there is no complete installation"
    if stamp != describe_installation().encode():
        return "installed for another machine, Python or list of requirements"
    return find_import_error(packages)


def find_import_error(packages: Path) -> str:
    """Return the error of importing the modules of all roles, if any."""
    path = pathsep.join(map(str, (packages, ROOT / "platform", ROOT)))
    imported = run(
        [INTERPRETER, "-S", "-c", IMPORT_SCRIPT],
        env=environ | {"PYTHONPATH": path},
        stdout=PIPE,
        stderr=STDOUT,
    )
    if not imported.returncode:
        return ""
    output = imported.stdout.decode(errors="replace")
    return f"import failed with exit code {imported.returncode}: {output}"


def install(packages: Path) -> int:
    """Install the requirements in an empty folder; return the exit code."""
    if packages.exists():
        rmtree(packages)
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(packages)]
    exit_code = run([*command, "-r", str(REQUIREMENTS)]).returncode
    if not exit_code:
        (packages / STAMP_NAME).write_text(describe_installation())
    return exit_code


def build() -> int:
    """Make what the processes need; return the exit code."""
    link_interpreter()
    # All files are written again, since a damaged one prevents the import. If
    # they can't be written, the processes start without them, but slower.
    for folder in ("lycheeglade", "platform"):
        compile_dir(ROOT / folder, quiet=1, force=True)
    fault = find_fault(PACKAGES)
    if fault:
        print(f"installing packages: {fault}", file=sys.stderr)
        exit_code = install(UNFINISHED)
        if exit_code:
            return exit_code
        fault = find_fault(UNFINISHED)
        if fault:
            print(f"installed packages can't be used: {fault}", file=sys.stderr)
            return 1
        if PACKAGES.exists():
            rmtree(PACKAGES)
        UNFINISHED.rename(PACKAGES)
    return 0


if __name__ == "__main__":
    sys.exit(build())
