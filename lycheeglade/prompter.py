"""Prompting for single answers, and parsers of the answers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from sys import stdin
from typing import TypeVar

from lycheeglade.errors import LycheegladeError
from lycheeglade.options import suggest_name

MAX_TRIES = 5

Ask = Callable[[str, str | None], str | None]
ShowLine = Callable[[str], None]
Parsed = TypeVar("Parsed")
Choice = TypeVar("Choice", bound=StrEnum)


class QuestionnaireError(LycheegladeError):
    """A question got no valid answer."""


def ask_at_terminal(
    question: str, default: str | None, *, interactive: bool = True
) -> str | None:
    """Print a question and return the answer read from standard input.

    The default is returned if the line is empty. Without `interactive`, it is
    returned without reading a line.

    Raises
    ------
    QuestionnaireError
        If the input ends before a line is read.
    """
    hint = "" if default is None else f" [{default}]"
    print(f"{question}{hint}")
    if not interactive:
        return default
    line = stdin.readline()
    if not line:
        raise QuestionnaireError(f"input ended at question: {question}")
    return line.strip() or default


@dataclass(frozen=True, slots=True)
class Prompter:
    """Asks questions until the answers are valid.

    Attributes
    ----------
    ask : callable
        Takes a question and the default answer, and returns the answer.
    show : callable
        Shows a line of text to the user.
    """

    ask: Ask
    show: ShowLine

    def ask_for(
        self, question: str, default: object, parse: Callable[[str], Parsed]
    ) -> Parsed:
        """Ask until `parse` accepts the answer.

        Raises
        ------
        QuestionnaireError
            If `MAX_TRIES` answers are invalid.
        """
        default = None if default in (None, "") else str(default)
        for _ in range(MAX_TRIES):
            answer = self.ask(question, default)
            try:
                return parse((answer or "").strip())
            except ValueError as error:
                self.show(f"  {error}")
        raise QuestionnaireError(f"no valid answer in {MAX_TRIES} attempts: {question}")


def list_of(parse: Callable[[str], str]) -> Callable[[str], tuple[str, ...]]:
    """Return a parser of a comma-separated list of at least one entry."""

    def parse_list(text: str) -> tuple[str, ...]:
        parts = [part.strip() for part in text.split(",") if part.strip()]
        if not parts:
            raise ValueError("at least one is needed")
        return tuple(dict.fromkeys(map(parse, parts)))

    return parse_list


def number_in(kind: type, low: float, high: float) -> Callable[[str], float]:
    """Return a parser of a number of `kind` from `low` to `high`."""

    def parse_number(text: str) -> float:
        try:
            number = kind(text)
        except ValueError:
            raise ValueError(f"{text!r} is not a number") from None
        if not low <= number <= high:
            raise ValueError(f"{text} is not in {low:g}..{high:g}")
        return number

    return parse_number


def one_of(choices: type[Choice]) -> Callable[[str], Choice]:
    """Return a parser of the members of `choices`."""

    def parse_choice(text: str) -> Choice:
        names = [str(choice) for choice in choices]
        if text not in names:
            raise ValueError(f"{text!r} is unknown; {suggest_name(text, names)}")
        return choices(text)

    return parse_choice
