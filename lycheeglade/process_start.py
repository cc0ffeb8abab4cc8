"""Signals and standard streams of a process that has just started.

Imports only built-in modules, so that signals are handled before the other
modules are imported.
"""

import sys
from os import O_RDWR, _exit, devnull, fdopen, fstat
from os import open as open_descriptor
from signal import SIG_IGN, SIGHUP, SIGINT, SIGTERM, signal

EXIT_OK = 0
STOP_SIGNALS = (SIGTERM, SIGINT)


def handle_start_signals() -> None:
    """Ignore SIGHUP, and end the process with code 0 on a stop signal.

    No work is interrupted before the main loop replaces the handlers.
    """
    signal(SIGHUP, SIG_IGN)
    for number in STOP_SIGNALS:
        signal(number, lambda *_: _exit(EXIT_OK))


def ignore_stop_signals() -> None:
    """Ignore stop signals of a process that is about to end anyway."""
    for number in STOP_SIGNALS:
        signal(number, SIG_IGN)


def open_standard_streams() -> None:
    """Open the null device in place of closed standard streams.

    Otherwise a socket or file gets the descriptor of a standard stream, and
    lines of the log are written to it.
    """
    for descriptor, name in enumerate(("stdin", "stdout", "stderr")):
        try:
            fstat(descriptor)
        except OSError:
            # The lowest free descriptor is used (POSIX, open).
            open_descriptor(devnull, O_RDWR)
        if getattr(sys, name) is None:
            mode = "w" if descriptor else "r"
            stream = fdopen(descriptor, mode, encoding="utf-8", closefd=False)
            setattr(sys, name, stream)
