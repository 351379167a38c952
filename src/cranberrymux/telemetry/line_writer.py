"""Writes log lines to a stream."""

import threading
from typing import TextIO


class LineWriter:
    """A logger for structlog whose methods write and flush one line.

    A stream that is closed or full loses lines; it never harms the program.
    """

    def __init__(self, stream: TextIO) -> None:
        """Writes to `stream`."""
        self._stream = stream
        self._lock = threading.Lock()

    def msg(self, line: str) -> None:
        """Writes one line."""
        with self._lock:
            try:
                self._stream.write(line + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                # Nowhere is left to tell it.
                return

    log = debug = info = warn = warning = msg
    error = err = critical = fatal = failure = exception = msg
