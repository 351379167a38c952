"""Configures structlog to write JSON lines to one stream."""

import enum
import sys
import time
from typing import Any
from typing import TextIO

import structlog

from cranberrymux.telemetry import event as event_module
from cranberrymux.telemetry import line_writer
from cranberrymux.telemetry import redaction
from cranberrymux.telemetry import repeat_limiter
from cranberrymux.telemetry import twisted_log_observer

# Lines per window of the events by which operators trace a request id: more of
# them pass than of other events.
LINES_PER_WINDOW_BY_EVENT = {
    event_module.Event.REQUEST_ENDED.value: 200,
    event_module.Event.BACKEND_ANSWER_LOST.value: 100,
    event_module.Event.REQUEST_REFUSED_HERE.value: 100,
    event_module.Event.UNEXPECTED_ANSWER.value: 100,
}


def configure(
    binary: str, stream: TextIO | None = None, node: str = ""
) -> None:
    """Makes every structlog logger of this process write JSON lines.

    Each line has `time` (UTC, ISO 8601), `event`, `binary` and `level`. Lines
    that repeat are limited, and secrets and bodies are replaced. Warnings and
    errors that Twisted logs are written, too.

    Args:
        binary: Name of the program, for the field `binary` of every line.
        stream: Stream to write to; standard output by default.
        node: Name of the instance, for the field `node` of every line; empty
            for none.
    """
    writer = line_writer.LineWriter(sys.stdout if stream is None else stream)

    def add_binary(
        _logger: Any, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event["binary"] = binary
        if node:
            event["node"] = node
        return event

    structlog.configure(
        processors=[
            _replace_enum_event,
            structlog.processors.add_log_level,
            repeat_limiter.RepeatLimiter(
                time.monotonic,
                lines_per_window_by_event=LINES_PER_WINDOW_BY_EVENT,
            ),
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            add_binary,
            structlog.processors.format_exc_info,
            redaction.redact,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=False,
    )
    twisted_log_observer.start()


def _replace_enum_event(
    _logger: Any, _method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    name = event.get("event")
    if isinstance(name, enum.Enum):
        event["event"] = name.value
    return event
