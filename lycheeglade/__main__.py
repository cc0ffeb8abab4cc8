"""Runs the command-line interface as ``python -m lycheeglade``."""

from lycheeglade.cmdline import main

if __name__ == "__main__":
    raise SystemExit(main())
