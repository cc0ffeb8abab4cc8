"""Structured logging: each event is one line of ``key=value`` pairs."""

from collections import Counter
from datetime import UTC, datetime
from json import dumps
from logging import Formatter, Handler, Logger, LogRecord, StreamHandler, getLogger
from os import write
from re import compile as compile_pattern
from reprlib import Repr
from select import PIPE_BUF, POLLOUT, poll

ROOT_LOGGER = "lycheeglade"
LEVELS_BY_NAME = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_UNQUOTED_TEXT = compile_pattern(r"[^\s\"'=\x00-\x1f\x7f]+")
MAX_QUOTED_CHARS = 80
_quotation = Repr()
_quotation.maxstring = _quotation.maxother = MAX_QUOTED_CHARS


def quote_value(value: object) -> str:
    """Return the representation of a decoded value, shortened for a log line.

    A value that was decoded just within the interpreter's recursion limit may
    be nested too deeply for `repr`. Only its outer levels are represented.
    """
    return _quotation.repr(value)


def format_field(value: object) -> str:
    """Return the text of `value` in a log line.

    Strings with spaces, quotes, equals signs or control characters are
    quoted and escaped as in JSON, so that they cannot split a line or be
    parsed as other fields. Floats have up to six significant digits.
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, bool):
        return str(value).lower()
    text = str(value)
    if _UNQUOTED_TEXT.fullmatch(text):
        return text
    return dumps(text)


class EventFormatter(Formatter):
    """Formats a record as time, level, logger, event and event fields."""

    def format(self, record: LogRecord) -> str:
        """Return the line for `record`; it never contains a line break."""
        time = datetime.fromtimestamp(record.created, UTC)
        fields = {
            "time": time.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
            "level": record.levelname.lower(),
            "logger": record.name,
        }
        event_fields = getattr(record, "event_fields", None)
        if event_fields is None:
            fields["event"] = "message"
            fields["text"] = record.getMessage()
        else:
            fields["event"] = record.getMessage()
            fields |= event_fields
        if record.exc_info:
            fields["error"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={format_field(value)}" for key, value in fields.items())


class PipeHandler(Handler):
    """Writes lines to a file descriptor whose reader is not trusted.

    The process neither waits for a reader that is slow nor ends because of one
    that is gone: lines that can't be written at once are counted in
    `lost_by_event`. A line is at most ``PIPE_BUF`` bytes long, so that it can
    be written whole whenever the descriptor is writable (poll(2), pipe(7)).
    """

    def __init__(self, descriptor: int):
        super().__init__()
        self.lost_by_event: Counter[str] = Counter()
        self._descriptor = descriptor
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)

    def emit(self, record: LogRecord) -> None:
        """Write the line for `record`, or count it as lost."""
        # Text of the environment may hold bytes that are not UTF-8 (PEP 383).
        text = self.format(record).encode(errors="backslashreplace")
        line = text[: PIPE_BUF - 1] + b"\n"
        try:
            events = self._poll.poll(0)
            if not events or not events[0][1] & POLLOUT:
                raise BlockingIOError
            write(self._descriptor, line)
        except OSError:
            self.lost_by_event[record.getMessage()] += 1


def log_event(logger: Logger, level: int, event: str, **fields: object) -> None:
    """Log `event` with its `fields`; a filtered event costs one comparison.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    level : int
        Level of the ``logging`` module.
    event : str
        Short constant name, such as ``flow-accepted``.
    **fields : object
        Details of the event, as `format_field` formats them.
    """
    if logger.isEnabledFor(level):
        logger.log(level, "%s", event, extra={"event_fields": fields})


def configure_logging(level: str | int, handler: Handler | None = None) -> None:
    """Configure logging of this process.

    Parameters
    ----------
    level : str or int
        ``debug``, ``info``, ``warning``, ``error`` or a level of the
        ``logging`` module. Libraries log at ``warning`` or above, since
        their lines aren't documented events.
    handler : logging.Handler, optional
        Writes the lines; standard error if not given.

    Raises
    ------
    ValueError
        If `level` is an unknown name.
    """
    if isinstance(level, str):
        if level.lower() not in LEVELS_BY_NAME:
            known = ", ".join(LEVELS_BY_NAME)
            raise ValueError(f"log level {level!r} is not one of {known}")
        level = LEVELS_BY_NAME[level.lower()]
    handler = handler or StreamHandler()
    handler.setFormatter(EventFormatter())
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(max(level, LEVELS_BY_NAME["warning"]))
    getLogger(ROOT_LOGGER).setLevel(level)
