"""Writes the warnings and errors that Twisted logs to the JSON log."""

from typing import Any

import structlog
from twisted import logger as twisted_logger

from cranberrymux.telemetry import event

_FAULT_LEVELS = (
    twisted_logger.LogLevel.warn,
    twisted_logger.LogLevel.error,
    twisted_logger.LogLevel.critical,
)

_is_started = False


def start() -> None:
    """Starts to observe Twisted's log; later calls have no effect."""
    global _is_started  # noqa: PLW0603
    if _is_started:
        return
    _is_started = True
    observer: Any = observe
    twisted_logger.globalLogBeginner.beginLoggingTo(
        [observer], discardBuffer=True, redirectStandardIO=False
    )


def observe(fault: Any) -> None:
    """Logs one event of Twisted as `library-fault` if it is a fault.

    Warnings, errors and unhandled failures are faults.

    Args:
        fault: Event as Twisted passes it to its log observers.
    """
    level = fault.get("log_level")
    if level not in _FAULT_LEVELS:
        return
    fields = {
        "namespace": fault.get("log_namespace", ""),
        "text": twisted_logger.formatEvent(fault),
    }
    if failure := fault.get("log_failure"):
        fields["error"] = failure.getErrorMessage()
        fields["trace"] = failure.getBriefTraceback()
    structlog.get_logger().error(event.Event.LIBRARY_FAULT, **fields)
