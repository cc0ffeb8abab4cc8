"""Signals of a process that has just started.

Imports only built-in modules, so that signals are handled before the other
modules are imported.
"""

from os import _exit
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
