"""Structured log lines: one line an event, as ``key=value`` pairs."""

from datetime import UTC, datetime
from json import dumps
from logging import Formatter, Logger, LogRecord, StreamHandler, getLogger
from re import compile as compile_pattern

ROOT_LOGGER = "lycheeglade"
LEVELS_BY_NAME = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_PLAIN = compile_pattern(r"[^\s\"'=\x00-\x1f\x7f]+")


def format_field(value: object) -> str:
    """Return `value` as it stands in a log line.

    Strings with spaces, quotes, equals signs or control characters are
    quoted and escaped as in JSON, so that a line is never split and never
    read as other fields. Floats keep six significant digits.
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, bool):
        return str(value).lower()
    text = str(value)
    if _PLAIN.fullmatch(text):
        return text
    return dumps(text)


class EventFormatter(Formatter):
    """Formats a record as time, level, logger, event and its fields."""

    def format(self, record: LogRecord) -> str:
        """Return the line for `record`, which never holds a line break."""
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


def log_event(logger: Logger, level: int, event: str, **fields: object) -> None:
    """Log `event` with its `fields`; costs one comparison if it is filtered.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the calling module.
    level : int
        Level of the ``logging`` module.
    event : str
        Short constant name, such as ``flow-accepted``.
    **fields : object
        What the event is about. A field with a value that isn't plain text
        is quoted.
    """
    if logger.isEnabledFor(level):
        logger.log(level, "%s", event, extra={"event_fields": fields})


def configure_logging(level: str | int) -> None:
    """Send the log of this process to its standard error.

    Parameters
    ----------
    level : str or int
        ``debug``, ``info``, ``warning``, ``error`` or a level of the
        ``logging`` module. Libraries log from ``warning`` on, since their
        lines aren't documented events.

    Raises
    ------
    ValueError
        If the name of the level is unknown.
    """
    if isinstance(level, str):
        if level.lower() not in LEVELS_BY_NAME:
            known = ", ".join(LEVELS_BY_NAME)
            raise ValueError(f"log level {level!r} is not one of {known}")
        level = LEVELS_BY_NAME[level.lower()]
    handler = StreamHandler()
    handler.setFormatter(EventFormatter())
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(max(level, LEVELS_BY_NAME["warning"]))
    getLogger(ROOT_LOGGER).setLevel(level)
