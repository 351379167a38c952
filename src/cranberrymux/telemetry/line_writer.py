"""Writes log lines to a stream."""

import os
import stat
import threading
from typing import TextIO

HELD_BYTES = 65_536  # Of a line that the reader took in part.
_LOST_LINE = b'{"event": "lines-lost", "level": "warning", "count": %d}\n'


class LineWriter:
    """A logger for structlog whose methods write one line.

    A reader that stops reading costs lines and nothing else: on a pipe or a
    socket no write waits. The next line that goes through tells how many
    were lost.
    """

    def __init__(self, stream: TextIO) -> None:
        """Writes to `stream`."""
        self._stream = stream
        self._lock = threading.Lock()
        self._descriptor = _unblock(stream)
        self._rest = b""
        self._lost = 0

    def msg(self, line: str) -> None:
        """Writes one line."""
        with self._lock:
            if self._descriptor is None:
                self._write_waiting(line)
            else:
                self._write_now(line.encode() + b"\n")

    log = debug = info = warn = warning = msg
    error = err = critical = fatal = failure = exception = msg

    def _write_waiting(self, line: str) -> None:
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            self._lost += 1

    def _write_now(self, line: bytes) -> None:
        if self._rest and not self._send(self._rest):
            self._lost += 1
            return
        if self._lost:
            line = _LOST_LINE % self._lost + line
            self._lost = 0
        self._send(line)

    def _send(self, data: bytes) -> bool:
        """Sends what the reader takes; True if that was all of it."""
        assert self._descriptor is not None
        try:
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The reader is gone for good: nowhere is left to tell it.
            sent = len(data)
        # A line that was begun is ended later; no line is cut.
        self._rest = data[sent:][:HELD_BYTES]
        return not self._rest


def _unblock(stream: TextIO) -> int | None:
    """Makes a pipe or socket non-blocking; None for other streams."""
    try:
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError, AttributeError):
        return None
    if not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
        return None
    os.set_blocking(descriptor, False)
    return descriptor
