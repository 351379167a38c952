"""Writes log lines without waiting for a slow reader."""

import os
import stat
import threading
from typing import TextIO

# Limit on the unsent rest of a line that was written in part.
MAXIMUM_PENDING_BYTES = 65_536
_LINES_LOST_FORMAT = (
    b'{"event": "lines-lost", "level": "warning", "count": %d}\n'
)


class LineWriter:
    """A structlog logger each of whose methods writes one line.

    A pipe or socket is made non-blocking, so that a reader that stops does not
    block the program: lines that do not fit are dropped, and a `lines-lost`
    line before the next one that fits has their number.
    """

    def __init__(self, stream: TextIO) -> None:
        """Makes the stream non-blocking if it is a pipe or socket."""
        self._stream = stream
        self._lock = threading.Lock()
        self._descriptor = _make_nonblocking(stream)
        self._pending = b""
        self._lost = 0

    def msg(self, line: str) -> None:
        """Writes one line or counts it as lost; never raises on I/O errors."""
        with self._lock:
            if self._descriptor is None:
                self._write_blocking(line)
            else:
                self._write_nonblocking(line.encode() + b"\n")

    log = debug = info = warn = warning = msg
    error = err = critical = fatal = failure = exception = msg

    def _write_blocking(self, line: str) -> None:
        try:
            self._stream.write(line + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            self._lost += 1

    def _write_nonblocking(self, line: bytes) -> None:
        if self._pending and not self._send(self._pending):
            self._lost += 1
            return
        if self._lost:
            line = _LINES_LOST_FORMAT % self._lost + line
            self._lost = 0
        self._send(line)

    def _send(self, data: bytes) -> bool:
        """Writes as much as the pipe takes; True if that was everything."""
        assert self._descriptor is not None
        try:
            sent = os.write(self._descriptor, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # The reader has closed its end, so the loss cannot be reported.
            sent = len(data)
        # The rest of a partly written line is written before the next line,
        # so that no line is truncated.
        self._pending = data[sent:][:MAXIMUM_PENDING_BYTES]
        return not self._pending


def _make_nonblocking(stream: TextIO) -> int | None:
    """Makes a pipe or socket non-blocking and returns its descriptor.

    Returns:
        The file descriptor; None if the stream is neither.
    """
    try:
        descriptor = stream.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError, AttributeError):
        return None
    if not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
        return None
    os.set_blocking(descriptor, False)
    return descriptor
