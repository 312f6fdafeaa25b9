"""Logging of a process: one JSON line per event on standard output."""

import logging
import re
import sys

import structlog

from .log_output import LogOutput

__all__ = ["configure_logs"]


# tornado quotes the header that it can't read, which may hold the API key of a caller.
MALFORMED_MESSAGE_PREFIX = "Malformed HTTP message"
QUOTED_PART = re.compile("['\"].*", re.DOTALL)


class _ForwardHandler(logging.Handler):
    """Forwards records of the standard library's loggers to structlog."""

    def emit(self, record: logging.LogRecord) -> None:
        message = record.getMessage()
        if message.startswith(MALFORMED_MESSAGE_PREFIX):
            message = QUOTED_PART.sub("...", message)
        fields = {"logger": record.name, "message": message}
        if record.exc_info and record.exc_info[1] is not None:
            fields["error"] = repr(record.exc_info[1])
        structlog.get_logger().log(
            record.levelno,
            "library_message",
            exc_info=record.exc_info,
            **fields,
        )


class _LineLogger:
    """Writes the rendered lines of all levels to one output."""

    def __init__(self, output: LogOutput) -> None:
        self.debug = self.info = self.warning = output.write_line
        self.error = self.critical = self.exception = self.msg = output.write_line


def configure_logs(level: str) -> None:
    """Log events of `level` and above; tracebacks only at level ``debug``."""
    level_number = logging.getLevelNamesMapping()[level.upper()]
    output = LogOutput(sys.stdout.fileno())
    processors: list = [
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
    ]
    if level_number <= logging.DEBUG:
        processors.append(structlog.processors.format_exc_info)
    else:
        processors.append(_drop_traceback)
    processors.append(structlog.processors.JSONRenderer(default=str))
    structlog.configure(
        processors=processors,
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
        logger_factory=lambda *args: _LineLogger(output),
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(handlers=[_ForwardHandler()], level=level_number, force=True)


def _drop_traceback(logger, name: str, event: dict) -> dict:
    event.pop("exc_info", None)
    event.pop("stack_info", None)
    return event
