"""Exceptions that lycheeglade raises on invalid input."""

from msgspec import DecodeError

# Exceptions of msgspec's decoders on malformed input. Input that is nested
# deeper than the interpreter's recursion limit raises RecursionError, also in
# fields that the decoder skips.
DECODE_ERRORS = (DecodeError, RecursionError)


class LycheegladeError(Exception):
    """Base class of the package's exceptions."""


class OptionError(LycheegladeError):
    """An option in an INI text is missing or invalid.

    Parameters
    ----------
    source : str
        File or published value that holds the option.
    section : str
        Section of the option.
    option : str
        Name of the option.
    reason : str
        Description of the error, with the invalid value.
    """

    def __init__(self, source: str, section: str, option: str, reason: str):
        super().__init__(f"{source}: [{section}] {option}: {reason}")
        self.source = source
        self.section = section
        self.option = option
        self.reason = reason


class ConfigurationError(ExceptionGroup):
    """All the errors found in one INI text."""

    def derive(self, excs):
        """Return a group of the same type that holds `excs`."""
        return ConfigurationError(self.message, excs)


class UnknownServiceError(LycheegladeError):
    """No published value declares a service of the given name."""


class PacketError(LycheegladeError):
    """A datagram can't be decoded.

    Parameters
    ----------
    cause : str
        Short name of the cause, used as the label of a counter.
    """

    def __init__(self, cause: str):
        super().__init__(f"malformed packet: {cause}")
        self.cause = cause


class TicketError(LycheegladeError):
    """A ticket, or the exported tickets of a flow, are invalid."""


class TraceError(LycheegladeError):
    """A line of a trace is invalid."""

    def __init__(self, source: str, line: int, reason: str):
        super().__init__(f"{source}:{line}: {reason}")
        self.line = line
