"""Layer-4 load balancer that serves each connection in a permitted place.

The functions of this module are the public interface of the package. Each of
them imports the modules that it needs when it is called.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lycheeglade.address import Address
    from lycheeglade.difference import Difference
    from lycheeglade.errors import OptionError
    from lycheeglade.explain import Explanation
    from lycheeglade.trace_writer import TraceOptions
    from lycheeglade.view import Service, Target, View

__version__ = "0.1.0"


def load_service(path: str | Path) -> Service:
    """Return the service that the published value in file `path` declares.

    Raises
    ------
    ConfigurationError
        If the file can't be read or is invalid.
    """
    from lycheeglade.configuration import parse_service
    from lycheeglade.settings import read_text

    return parse_service(read_text(path), str(path), revision=0)


def rank_flow(service: Service, caller: Address | str) -> tuple[Target, ...]:
    """Return the permitted targets of a caller's flow, highest rank first.

    Parameters
    ----------
    caller : Address or str
        The caller's ``IP:PORT``.

    Raises
    ------
    ValueError
        If `caller` is not an address.
    """
    from lycheeglade.address import parse_address
    from lycheeglade.flow import FlowKey, hash_flow
    from lycheeglade.routing import rank_targets

    ip, port = parse_address(str(caller))
    return rank_targets(service, hash_flow(FlowKey(service.name, ip, port)))


def load_view(paths: Iterable[str | Path]) -> View:
    """Return the view that published values declare.

    Parameters
    ----------
    paths : iterable of str or Path
        Files, or folders of which all ``.ini`` files are read.

    Raises
    ------
    ConfigurationError
        If a file can't be read or is invalid.
    """
    from lycheeglade.checker import load_view as load

    return load(paths)


def explain_flow(view: View, service_name: str, caller: Address | str) -> Explanation:
    """Rank the targets of a caller's flow and explain why others are excluded.

    Raises
    ------
    UnknownServiceError
        If the view has no such service.
    ValueError
        If `caller` is not an address.
    """
    from lycheeglade.address import parse_address
    from lycheeglade.errors import UnknownServiceError
    from lycheeglade.explain import explain_flow as explain
    from lycheeglade.options import suggest_name

    if service_name not in view.services_by_name:
        hint = suggest_name(service_name, sorted(view.services_by_name))
        raise UnknownServiceError(f"no service {service_name!r}; {hint}")
    return explain(view, service_name, parse_address(str(caller)))


def compare_views(old: View, new: View) -> Difference:
    """Return how the change from view `old` to view `new` affects flows."""
    from lycheeglade.difference import compare_views as compare

    return compare(old, new)


def check_files(paths: Iterable[str | Path]) -> list[OptionError]:
    """Return all errors in settings, published values and teams' answers."""
    from lycheeglade.checker import check_files as check

    return check(paths)


def generate_files(answers_path: str | Path, folder: str | Path) -> list[Path]:
    """Write the configuration for a team's answers; return the paths.

    Raises
    ------
    ConfigurationError
        If the answers can't be read or contradict each other.
    """
    from lycheeglade.generator import generate_files as generate

    return generate(Path(answers_path), Path(folder))


def replay_files(paths: Iterable[str | Path]) -> int:
    """Replay traces, print their outcomes, and count the unexpected ones.

    Raises
    ------
    ExceptionGroup
        If a trace is invalid, with one `TraceError` for each error.
    """
    from lycheeglade.outcome import replay_files as replay

    return replay(map(Path, paths))


def run_balancer(
    path: str | Path,
    log_level: str | None = None,
    trace: TraceOptions | None = None,
) -> int:
    """Run a balancer with the settings at `path`; return its exit code.

    Parameters
    ----------
    log_level : str, optional
        Overrides the log level in the settings.
    trace : TraceOptions, optional
        Where the process records its inputs and actions.

    Raises
    ------
    ConfigurationError
        If the settings can't be read or are invalid.
    OSError
        If an address can't be bound.
    """
    from lycheeglade.balancer_daemon import run_balancer as run

    return _run_daemon(run, path, log_level, trace)


def run_agent(
    path: str | Path,
    log_level: str | None = None,
    trace: TraceOptions | None = None,
) -> int:
    """Run an agent with the settings at `path`; return its exit code.

    Parameters
    ----------
    log_level : str, optional
        Overrides the log level in the settings.
    trace : TraceOptions, optional
        Where the process records its inputs and actions.

    Raises
    ------
    ConfigurationError
        If the settings can't be read or are invalid.
    OSError
        If an address can't be bound.
    """
    from lycheeglade.agent_daemon import run_agent as run

    return _run_daemon(run, path, log_level, trace)


def _run_daemon(
    run, path: str | Path, log_level: str | None, trace: TraceOptions | None
) -> int:
    import uvloop

    from lycheeglade.logs import configure_logging
    from lycheeglade.process_start import handle_start_signals, ignore_stop_signals
    from lycheeglade.settings import load_settings

    handle_start_signals()
    settings = load_settings(path)
    configure_logging(log_level or settings.log_level)
    try:
        return uvloop.run(run(settings, trace))
    finally:
        # The closed event loop has restored the default handlers, which
        # replace the exit code.
        ignore_stop_signals()
