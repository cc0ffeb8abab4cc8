"""Typed access to the options of INI texts, collecting all errors."""

from ast import literal_eval
from collections.abc import Callable, Iterable, Mapping
from configparser import (
    ConfigParser,
    DuplicateOptionError,
    DuplicateSectionError,
    Error,
    MissingSectionHeaderError,
    ParsingError,
)
from difflib import get_close_matches
from enum import StrEnum
from functools import lru_cache
from math import isfinite
from re import compile as compile_pattern
from sys import intern
from typing import Any, TypeVar

from lycheeglade.address import (
    MAX_INTERNED,
    Address,
    Zone,
    intern_int,
    parse_address,
    parse_zone,
)
from lycheeglade.errors import ConfigurationError, OptionError

MAX_NAME_LENGTH = 64
MAX_KNOWN_NAMES = 12
_NAME = compile_pattern(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}")
_NO_SECTION = "-"
_UNUSED_SECTION = "\0"

# Equal numbers in different published values share one object.
_intern_float = lru_cache(MAX_INTERNED)(float)

Choice = TypeVar("Choice", bound=StrEnum)
Parsed = TypeVar("Parsed")


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a hint that suggests known names instead of `name`."""
    known = list(known)
    matches = get_close_matches(name, known, n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    if known and len(known) <= MAX_KNOWN_NAMES:
        return f"known are {', '.join(known)}"
    if known:
        return f"{len(known)} others are known"
    return "none is known"


def parse_name(text: str) -> str:
    """Return `text` if it is a valid name of a host, service or the like.

    Raises
    ------
    ValueError
        If `text` is empty or longer than `MAX_NAME_LENGTH`, contains anything
        but ASCII letters, digits, dots, hyphens and underscores, or doesn't
        begin with a letter or digit.
    """
    if not _NAME.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a name of 1 to {MAX_NAME_LENGTH} letters, digits, "
            "dots, hyphens and underscores"
        )
    return intern(text)


@lru_cache(MAX_INTERNED)
def parse_named_zone(text: str) -> Zone:
    """Parse ``REGION/ZONE``, of which both parts must be valid names.

    Raises
    ------
    ValueError
        If `text` doesn't have this form.
    """
    zone = parse_zone(text)
    return Zone(parse_name(zone.region), parse_name(zone.name))


class Section:
    """One section of an INI text, with a getter for each type of option.

    A getter that finds an error adds it to the reader and returns its
    default, so that one pass finds all errors. `OptionReader.finish` raises
    them.
    """

    def __init__(
        self, reader: "OptionReader", name: str, values: Mapping[str, str] | None
    ):
        self.name = name
        self._reader = reader
        self._is_absent = values is None
        self._values = values or {}
        self._known: set[str] = set()

    def __iter__(self):
        return iter(self._values)

    def add_error(self, option: str, reason: str) -> None:
        """Add an error about `option`."""
        self._reader.add_error(self.name, option, reason)

    def get(
        self,
        option: str,
        parse: Callable[[str], Parsed],
        default: Parsed | None = None,
        *,
        required: bool = True,
    ) -> Any:
        """Return the parsed option.

        Parameters
        ----------
        option : str
            Name of the option.
        parse : callable
            Converts the option's text to its value, or raises ``ValueError``.
        default : optional
            Returned if the option is absent or invalid.
        required : bool
            Whether the absence of the option is an error.
        """
        self._known.add(option)
        text = self._values.get(option)
        if text is None:
            if required and not self._is_absent:
                self.add_error(option, "is missing")
            return default
        try:
            return parse(text)
        except ValueError as error:
            self.add_error(option, str(error))
            return default

    def get_name(self, option: str) -> str:
        """Return an option that is a name."""
        return self.get(option, parse_name, "")

    def get_zone(self, option: str) -> Zone:
        """Return an option of the form ``REGION/ZONE``."""
        return self.get(option, parse_named_zone, Zone("", ""))

    def get_address(self, option: str) -> Address:
        """Return an option of the form ``IP:PORT``."""
        return self.get(option, parse_address, Address("", 0))

    def get_addresses(self, option: str, *, required: bool) -> tuple[Address, ...]:
        """Return a list of ``IP:PORT``, not empty if `required`."""
        return self.get_list(option, parse_address, required=required)

    def get_list(
        self, option: str, parse: Callable[[str], Parsed], *, required: bool
    ) -> tuple[Parsed, ...]:
        """Return the entries of a comma-separated list; none may repeat."""

        def parse_list(text: str) -> tuple[Parsed, ...]:
            parts = [part.strip() for part in text.split(",") if part.strip()]
            if required and not parts:
                raise ValueError("the list is empty")
            entries, reasons = {}, []
            for part in parts:
                try:
                    entry = parse(part)
                except ValueError as error:
                    reasons.append(str(error))
                    continue
                if entry in entries:
                    reasons.append(f"{entry} is listed twice")
                entries[entry] = None
            if reasons:
                raise ValueError("; ".join(reasons))
            return tuple(entries)

        return self.get(option, parse_list, (), required=required)

    def get_choice(
        self, option: str, choices: type[Choice], default: Choice | None = None
    ) -> Choice:
        """Return a member of `choices`; without `default` it is required."""

        def parse_choice(text: str) -> Choice:
            names = [str(choice) for choice in choices]
            if text not in names:
                raise ValueError(f"{text!r} is unknown; {suggest_name(text, names)}")
            return choices(text)

        fallback = next(iter(choices)) if default is None else default
        return self.get(option, parse_choice, fallback, required=default is None)

    def get_int(self, option: str, default: int, low: int, high: int) -> int:
        """Return an integer from `low` to `high`."""

        def parse_int(text: str) -> int:
            if not text.isascii() or not text.lstrip("-").isdigit():
                raise ValueError(f"{text!r} is not a whole number")
            if not low <= int(text) <= high:
                raise ValueError(f"{text} is not in {low}..{high}")
            return intern_int(text)

        return self.get(option, parse_int, default, required=False)

    def get_float(self, option: str, default: float, low: float, high: float) -> float:
        """Return a number from `low` to `high`."""

        def parse_float(text: str) -> float:
            try:
                number = _intern_float(text)
            except ValueError:
                raise ValueError(f"{text!r} is not a number") from None
            if not isfinite(number) or not low <= number <= high:
                raise ValueError(f"{text} is not in {low:g}..{high:g}")
            return number

        return self.get(option, parse_float, default, required=False)

    def refuse_unknown(self) -> None:
        """Add an error for each option that no getter has read."""
        for option in self._values:
            if option not in self._known:
                hint = suggest_name(option, sorted(self._known))
                self.add_error(option, f"is unknown; {hint}")


class OptionReader:
    """Parsed sections of one INI text, and the errors found so far.

    Parameters
    ----------
    text : str
        INI text to parse.
    source : str
        File or published value that contains the text, named in the errors.
    """

    def __init__(self, text: str, source: str):
        self.source = source
        self.errors: list[OptionError] = []
        self._values_by_section: dict[str, dict[str, str]] = {}
        self._read(text)
        self._known: set[str] = set()
        self._suggested_sections: set[str] = set()

    @property
    def section_names(self) -> list[str]:
        """Names of the sections, in the order of the text."""
        return list(self._values_by_section)

    def add_error(self, section: str, option: str, reason: str) -> None:
        """Add an error about an option."""
        self.errors.append(OptionError(self.source, section, option, reason))

    def get_section(self, name: str, *, required: bool = True) -> Section:
        """Return a section; an absent one is empty."""
        self._known.add(name)
        self._suggested_sections.add(name)
        values = self._values_by_section.get(name)
        if values is None and required:
            self.add_error(name, "section", "is missing")
        return Section(self, name, values)

    def get_named_sections(self, prefix: str) -> dict[str, Section]:
        """Return the sections titled ``PREFIX NAME``, by name."""
        self._suggested_sections.add(f"{prefix} NAME")
        sections_by_name = {}
        for section in self.section_names:
            head, _, name = section.partition(" ")
            if head != prefix:
                continue
            self._known.add(section)
            try:
                values = self._values_by_section[section]
                sections_by_name[parse_name(name)] = Section(self, section, values)
            except ValueError as error:
                self.add_error(section, "section", str(error))
        return sections_by_name

    def finish(self) -> None:
        """Add errors for unknown sections, then raise all errors.

        Raises
        ------
        ConfigurationError
            If any error was found.
        """
        for section in self.section_names:
            if section not in self._known:
                hint = suggest_name(section, sorted(self._suggested_sections))
                self.add_error(section, "section", f"is unknown; {hint}")
        self.raise_errors()

    def raise_errors(self) -> None:
        """Raise the errors found so far as one group, if there are any."""
        if self.errors:
            raise ConfigurationError(f"{self.source} is invalid", self.errors)

    def _read(self, text: str) -> None:
        parser = ConfigParser(
            interpolation=None,
            delimiters=("=",),
            comment_prefixes=("#", ";"),
            inline_comment_prefixes=(";",),
            empty_lines_in_values=False,
            default_section=_UNUSED_SECTION,
        )
        parser.optionxform = str
        try:
            parser.read_string(text, self.source)
        except DuplicateSectionError as error:
            self.add_error(
                error.section, "section", f"stands twice, line {error.lineno}"
            )
        except DuplicateOptionError as error:
            reason = f"stands twice, line {error.lineno}"
            self.add_error(error.section, error.option, reason)
        except MissingSectionHeaderError as error:
            reason = f"{error.line.strip()!r} stands before the first section"
            self.add_error(_NO_SECTION, f"line {error.lineno}", reason)
        except ParsingError as error:
            for line, content in error.errors:
                content = literal_eval(content).strip()
                reason = f"{content!r} is neither a section nor an option"
                self.add_error(_NO_SECTION, f"line {line}", reason)
        except Error as error:
            self.add_error(_NO_SECTION, "text", str(error))
        self.raise_errors()
        for name in parser.sections():
            self._values_by_section[name] = dict(parser.items(name))
            # The parser is part of a reference cycle, so without this its
            # sections stay in memory until the next full garbage collection.
            parser.remove_section(name)
