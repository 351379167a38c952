"""Peers that send bytes without end into a port, and open anew when closed."""

import itertools
import pathlib
import re
import socket
import threading
import time

CONNECT_TIMEOUT_S = 2.0
BLOCK_BYTES = 1 << 16
_LARGE_CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, b"a" * BLOCK_BYTES)
_CHUNKED = b"Host: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
_REQUEST = b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %d\r\n\r\n"

# What each peer sends once, and then again and again.
KINDS = {
    "a head of one line": (b"GET / HTTP/1.1\r\nA: ", b"a" * BLOCK_BYTES),
    "many header lines": (b"GET / HTTP/1.1\r\n", b"A: b\r\n" * 10_000),
    "a target": (b"GET /", b"a" * BLOCK_BYTES),
    "zeros": (b"", b"\0" * BLOCK_BYTES),
    "chunks of one byte": (
        b"POST /b/x HTTP/1.1\r\nRequest-Id: 1\r\n" + _CHUNKED,
        b"1\r\na\r\n" * 10_000,
    ),
    "pipelined requests": (
        b"",
        b"".join(_REQUEST % number for number in range(1000)),
    ),
    "an instance in large chunks": (
        b"PUT /cranberrymux/instances/i-1 HTTP/1.1\r\n" + _CHUNKED,
        _LARGE_CHUNK,
    ),
    "a configuration in large chunks": (
        b"PUT /cranberrymux/config HTTP/1.1\r\nIf-Match: 0\r\n" + _CHUNKED,
        _LARGE_CHUNK,
    ),
}


class Flood:
    """Threads that send as fast as a port reads.

    Attributes:
        connections: Number of connections made so far.
        sent_bytes: Bytes sent so far.
    """

    def __init__(self, address, kind, count):
        """Starts to send.

        Args:
            address: IP address and port.
            kind: One of `KINDS`.
            count: Number of connections that are open at a time.
        """
        self.connections = 0
        self.sent_bytes = 0
        self._address = address
        self._begin, self._block = KINDS[kind]
        self._is_stopped = False
        self._threads = [
            threading.Thread(target=self._send, daemon=True)
            for _ in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stops sending and waits for the threads."""
        self._is_stopped = True
        for thread in self._threads:
            thread.join()

    def _send(self):
        while not self._is_stopped:
            try:
                self._send_on_one_connection()
            except OSError:
                time.sleep(0.001)

    def _send_on_one_connection(self):
        with socket.create_connection(
            self._address, CONNECT_TIMEOUT_S
        ) as connection:
            self.connections += 1
            connection.settimeout(0.2)
            for block in itertools.chain(
                (self._begin,), itertools.repeat(self._block)
            ):
                left = memoryview(block)
                while left and not self._is_stopped:
                    try:
                        sent = connection.send(left)
                    except TimeoutError:
                        continue
                    self.sent_bytes += sent
                    left = left[sent:]
                if self._is_stopped:
                    return


def reset_peak(process_id):
    """Lets the peak of the resident memory count from now on."""
    pathlib.Path(f"/proc/{process_id}/clear_refs").write_text("5")


def read_peak_mb(process_id):
    """Returns the largest resident memory since the last reset, MB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024
