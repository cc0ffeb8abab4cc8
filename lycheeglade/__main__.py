"""Runs the command-line interface as ``python -m lycheeglade``."""

import sys

from lycheeglade.process_start import handle_start_signals, open_standard_streams

DAEMONS = ("balancer", "agent")


def main() -> int:
    """Run the command line of this process and return its exit code."""
    open_standard_streams()
    if sys.argv[1:] and sys.argv[1] in DAEMONS:
        handle_start_signals()
    from lycheeglade.cmdline import main as run_command

    return run_command()


if __name__ == "__main__":
    raise SystemExit(main())
