"""Turns faults that Twisted logs into JSON lines."""

from typing import Any

import structlog
from twisted import logger as twisted_logger

from cranberrymux.telemetry import event

_LEVELS = (
    twisted_logger.LogLevel.warn,
    twisted_logger.LogLevel.error,
    twisted_logger.LogLevel.critical,
)

_is_begun = False


def begin() -> None:
    """Logs each warning, error and unhandled failure of Twisted."""
    global _is_begun  # noqa: PLW0603
    if _is_begun:
        return
    _is_begun = True
    observer: Any = observe
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [observer], discardBuffer=True, redirectStandardIO=False
    )


def observe(fault: Any) -> None:
    """Logs one event of Twisted, if it tells of a fault.

    Args:
        fault: The event as Twisted's loggers make it.
    """
    level = fault.get("log_level")
    if level not in _LEVELS:
        return
    fields = {
        "namespace": fault.get("log_namespace", ""),
        "text": twisted_logger.formatEvent(fault),
    }
    if failure := fault.get("log_failure"):
        fields["error"] = failure.getErrorMessage()
        fields["trace"] = failure.getBriefTraceback()
    structlog.get_logger().error(event.Event.LIBRARY_FAULT, **fields)
