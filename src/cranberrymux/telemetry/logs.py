"""JSON lines on one stream, by structlog."""

import sys
from typing import Any
from typing import TextIO

import structlog


def configure(binary: str, stream: TextIO | None = None) -> None:
    """Makes every structlog logger of this process write JSON lines.

    Args:
        binary: Name of the program; stands on each line.
        stream: Where lines go; standard output if absent.
    """
    target = sys.stdout if stream is None else stream

    def add_binary(
        _logger: Any, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        event["binary"] = binary
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            add_binary,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(target),
        cache_logger_on_first_use=False,
    )
