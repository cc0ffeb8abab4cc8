"""Asks single questions and parses the answers."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from sys import stdin
from typing import TypeVar

from lycheeglade.errors import LycheegladeError
from lycheeglade.options import suggest_name

MAX_TRIES = 5

Ask = Callable[[str, str | None], str | None]
Tell = Callable[[str], None]
Parsed = TypeVar("Parsed")
Choice = TypeVar("Choice", bound=StrEnum)


class QuestionnaireError(LycheegladeError):
    """A question was not answered."""


def ask_at_terminal(
    question: str, default: str | None, *, interactive: bool = True
) -> str | None:
    """Ask on standard output and return a line of standard input.

    An empty line means the default, as everything does if the process is not
    `interactive`.

    Raises
    ------
    QuestionnaireError
        If the input has ended.
    """
    hint = "" if default is None else f" [{default}]"
    print(f"{question}{hint}")
    if not interactive:
        return default
    line = stdin.readline()
    if not line:
        raise QuestionnaireError(f"the input ended at: {question}")
    return line.strip() or default


@dataclass(frozen=True, slots=True)
class Prompter:
    """Asks one question after the other.

    Attributes
    ----------
    ask : callable
        Takes a question and the default answer, and returns the answer.
    tell : callable
        Shows a line to whoever answers.
    """

    ask: Ask
    tell: Tell

    def ask_for(
        self, question: str, default: object, parse: Callable[[str], Parsed]
    ) -> Parsed:
        """Ask until `parse` takes the answer.

        Raises
        ------
        QuestionnaireError
            If there is no valid answer after some tries.
        """
        default = None if default in (None, "") else str(default)
        for _ in range(MAX_TRIES):
            answer = self.ask(question, default)
            try:
                return parse((answer or "").strip())
            except ValueError as error:
                self.tell(f"  {error}")
        raise QuestionnaireError(f"no valid answer to: {question}")


def list_of(parse: Callable[[str], str]) -> Callable[[str], tuple[str, ...]]:
    """Return a parser of a comma-separated list, at least one entry."""

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
