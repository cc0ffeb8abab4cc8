"""Runs the command line as ``python -m lycheeglade``."""

from lycheeglade.cmdline import main

if __name__ == "__main__":
    raise SystemExit(main())
