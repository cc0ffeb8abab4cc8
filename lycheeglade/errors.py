"""Errors that lycheeglade raises on bad input."""


class LycheegladeError(Exception):
    """Base class of the errors of this package."""


class OptionError(LycheegladeError):
    """An option in an INI text is missing or has a wrong value.

    Parameters
    ----------
    source : str
        File or published value that holds the option.
    section : str
        Section of the option.
    option : str
        Name of the option.
    reason : str
        What is wrong, with the wrong value.
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
    """A service was named that no published value declares."""


class PacketError(LycheegladeError):
    """A datagram can't be decoded.

    Parameters
    ----------
    cause : str
        Short name of the cause, used as a counter's label.
    """

    def __init__(self, cause: str):
        super().__init__(f"malformed packet: {cause}")
        self.cause = cause


class TicketError(LycheegladeError):
    """A ticket or a flow's exported tickets can't be used."""


class TraceError(LycheegladeError):
    """A line of a trace is invalid."""

    def __init__(self, source: str, line: int, reason: str):
        super().__init__(f"{source}:{line}: {reason}")
        self.line = line
