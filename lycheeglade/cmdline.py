"""Command-line interface to the functions of the package.

Exit codes: 0 on success, 1 if the input is invalid or the command failed, 2 if
the command line is invalid.
"""

from __future__ import annotations

import sys
from asyncio import run as run_async
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.option import Option

from lycheeglade import (
    __version__,
    check_files,
    compare_views,
    explain_flow,
    generate_files,
    load_view,
    replay_files,
    run_agent,
    run_balancer,
)
from lycheeglade.address import parse_address, parse_zone
from lycheeglade.errors import LycheegladeError

if TYPE_CHECKING:
    from lycheeglade.trace_writer import TraceOptions

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CODES_HELP = """
Exit codes: 0 success, 1 invalid input or failed command, 2 invalid command
line."""


class UsageError(LycheegladeError):
    """The command line is invalid."""


class _FunctionCommand(Command):
    """Command that calls a function and exits with its return value."""

    def __init__(
        self,
        name: str,
        handler: Callable[[Command], int | None],
        description: str,
        example: str,
        arguments: Sequence[Argument] = (),
        options: Sequence[Option] = (),
    ):
        self.name = name
        self.description = description
        self.help = f"{description}\n\nExample:\n  {example}\n{EXIT_CODES_HELP}"
        self.arguments = list(arguments)
        self.options = list(options)
        self._handler = handler
        super().__init__()

    def handle(self) -> int:
        return self._handler(self) or EXIT_OK


def _run_balancer(command: Command) -> int:
    path = _required_option(command, "config")
    return run_balancer(path, _log_level(command), _trace_options(command))


def _run_agent(command: Command) -> int:
    path = _required_option(command, "config")
    return run_agent(path, _log_level(command), _trace_options(command))


def _log_level(command: Command) -> str | None:
    if command.io.output.is_verbose():
        return "debug"
    return "warning" if command.io.output.is_quiet() else None


def _trace_options(command: Command) -> TraceOptions | None:
    from lycheeglade.trace_writer import TraceOptions, parse_trace_target

    target = command.option("trace")
    is_whole = command.option("trace-payloads")
    if target is None:
        if is_whole:
            raise UsageError("--trace-payloads: requires --trace")
        return None
    return TraceOptions(
        _parse_argument(parse_trace_target, "--trace", target), is_whole
    )


def _check(command: Command) -> int:
    errors = check_files(command.argument("files"))
    _print_errors(errors)
    return EXIT_FAILURE if errors else EXIT_OK


def _explain(command: Command) -> None:
    from lycheeglade.explain import format_explanation

    names = [*command.option("config"), *command.argument("files")]
    if not names:
        raise UsageError("--config: at least one file is required")
    flow = _parse_argument(parse_address, "--flow", _required_option(command, "flow"))
    service = _required_option(command, "service")
    zone = command.option("zone")
    if zone is not None:
        zone = _parse_argument(parse_zone, "--zone", zone)
    explanation = explain_flow(load_view(names), service, flow)
    print("\n".join(format_explanation(explanation, zone)))


def _status(command: Command) -> None:
    from msgspec.json import encode
    from msgspec.json import format as format_json

    from lycheeglade.status import fetch_status, format_status

    address = _parse_argument(parse_address, "address", command.argument("address"))
    status = run_async(fetch_status(address))
    if command.option("json"):
        print(format_json(encode(status), indent=2).decode())
    else:
        print(format_status(status))


def _replay(command: Command) -> int:
    return EXIT_FAILURE if replay_files(command.argument("traces")) else EXIT_OK


def _questionnaire(command: Command) -> None:
    from lycheeglade.prompter import ask_at_terminal
    from lycheeglade.questionnaire import ask_and_save

    ask = partial(ask_at_terminal, interactive=command.io.is_interactive())
    ask_and_save(Path(command.option("output")), ask, print)


def _generate(command: Command) -> None:
    paths = generate_files(command.argument("answers"), command.option("output"))
    if not command.io.output.is_quiet():
        print("\n".join(map(str, paths)))


def _diff(command: Command) -> None:
    from lycheeglade.difference import format_difference

    old, new = (load_view([command.argument(name)]) for name in ("old", "new"))
    print("\n".join(format_difference(compare_views(old, new))))


def _required_option(command: Command, name: str) -> str:
    value = command.option(name)
    if not value:
        raise UsageError(f"--{name} is required")
    return value


def _parse_argument(parse: Callable[[str], object], name: str, text: str) -> object:
    try:
        return parse(text)
    except ValueError as error:
        raise UsageError(f"{name}: {error}") from error


def build_application() -> Application:
    """Return the command-line application with all its commands."""
    application = Application("lycheeglade", __version__)
    application.catch_exceptions(False)
    application.auto_exits(False)
    for command in _build_commands():
        application.add(command)
    return application


def _build_commands() -> Iterator[Command]:
    daemon = [
        option("config", "c", "Settings file of the process.", flag=False),
        option("trace", None, "Trace to IP:PORT (TCP) or - (stdout).", flag=False),
        option("trace-payloads", None, "Trace payloads too; they are secret."),
    ]
    yield _FunctionCommand(
        "balancer",
        _run_balancer,
        "Runs a balancer, which carries the packets of callers of any service.",
        "lycheeglade balancer -c settings/nadi-a-balancer-1.ini",
        options=daemon,
    )
    yield _FunctionCommand(
        "agent",
        _run_agent,
        "Runs the agent for the upstreams on one host.",
        "lycheeglade agent -c settings/nadi-a-host-1.ini",
        options=daemon,
    )
    yield _FunctionCommand(
        "check",
        _check,
        "Checks settings and published values and reports every error.",
        "lycheeglade check settings/*.ini services/booth-sync.ini",
        arguments=[argument("files", "Files or folders to check.", multiple=True)],
    )
    yield _FunctionCommand(
        "explain",
        _explain,
        "Ranks the targets of a flow and explains why the others are excluded.",
        "lycheeglade explain -c services/booth-sync.ini --service booth-sync "
        "--flow 127.0.0.9:4000",
        arguments=[
            argument("files", "More published values.", optional=True, multiple=True)
        ],
        options=[
            option("config", "c", "Published values.", flag=False, multiple=True),
            option("service", "s", "Name of the service.", flag=False),
            option("flow", "f", "Caller's IP:PORT.", flag=False),
            option("zone", "z", "REGION/ZONE of a balancer to check.", flag=False),
        ],
    )
    yield _FunctionCommand(
        "status",
        _status,
        "Shows the status of a running process.",
        "lycheeglade status 127.0.0.1:7300",
        arguments=[argument("address", "IP:PORT of the process for operators.")],
        options=[option("json", None, "Print JSON instead of tables.")],
    )
    yield _FunctionCommand(
        "replay",
        _replay,
        "Replays recorded traces and compares the outcomes with the expected ones.",
        "lycheeglade replay tests/traces/*.trace",
        arguments=[argument("traces", "Trace files.", multiple=True)],
    )
    output = "File or folder to write."
    yield _FunctionCommand(
        "questionnaire",
        _questionnaire,
        "Asks a new team about its services, places, hosts and tolerances.",
        "lycheeglade questionnaire -o answers.ini",
        options=[option("output", "o", output, flag=False, default="answers.ini")],
    )
    yield _FunctionCommand(
        "generate",
        _generate,
        "Generates published values and settings from a team's answers.",
        "lycheeglade generate answers.ini -o generated",
        arguments=[argument("answers", "Answers of the questionnaire.")],
        options=[option("output", "o", output, flag=False, default="generated")],
    )
    yield _FunctionCommand(
        "diff",
        _diff,
        "Shows how a change of configuration affects flows and capacity.",
        "lycheeglade diff values-old values-new",
        arguments=[
            argument("old", "File or folder of current values."),
            argument("new", "File or folder of new values."),
        ],
    )


def _flatten(error: BaseException) -> Iterator[BaseException]:
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from _flatten(inner)
    else:
        yield error


def _print_errors(errors: Sequence[object]) -> None:
    for error in errors:
        lines = map(str.strip, str(error).splitlines())
        print(" ".join(filter(None, lines)), file=sys.stderr)


def _join_lone_dashes(arguments: Sequence[str]) -> list[str]:
    """Replace ``--name -`` by ``--name=-``, which cleo parses as a value."""
    joined: list[str] = []
    for text in arguments:
        if text == "-" and joined and joined[-1].startswith("--"):
            joined[-1] += "=-"
        else:
            joined.append(text)
    return joined


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return its exit code.

    Parameters
    ----------
    arguments : sequence of str, optional
        Arguments after the program's name; by default those of the process.
    """
    if arguments is None:
        arguments = sys.argv[1:]
    try:
        arguments = _join_lone_dashes(["lycheeglade", *arguments])
        return build_application().run(ArgvInput(arguments))
    except (CleoError, UsageError) as error:
        _print_errors([error])
        return EXIT_USAGE
    except (LycheegladeError, OSError) as error:
        _print_errors([error])
        return EXIT_FAILURE
    except ExceptionGroup as group:
        expected, others = group.split((LycheegladeError, OSError))
        if others is not None:
            raise
        _print_errors(list(_flatten(expected)))
        return EXIT_FAILURE
