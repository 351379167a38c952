"""Sends requests at an even rate over many connections and times each."""

import selectors
import socket
import time

from bench.latency import path as path_module

_ANSWER_LIMIT_S = 5.0
_READ_BYTES = 262144


class Client:
    """Holds the same number of connections to each path.

    Requests go out evenly spaced, the paths in turn, so that each path sees
    the same conditions; the connections of a path are used in turn.
    """

    def __init__(
        self, paths: tuple[path_module.Path, ...], connections: int
    ) -> None:
        """Connects to every path."""
        self._paths = paths
        self._selector = selectors.DefaultSelector()
        self._idle: list[list[socket.socket]] = []
        self._sent_s: dict[socket.socket, float] = {}
        self._left: dict[socket.socket, int] = {}
        self._latencies: list[list[float]] = [[] for _ in paths]
        for number, one in enumerate(paths):
            self._idle.append(
                [self._connect(number, one.port) for _ in range(connections)]
            )

    def run(self, rate: float, count: int) -> list[list[float]]:
        """Sends `count` requests on each path.

        Args:
            rate: Requests per second over all paths.
            count: Requests on each path.

        Returns:
            Seconds of each request, for each path, in ascending order.
        """
        for latencies in self._latencies:
            latencies.clear()
        due_s = time.perf_counter()
        for number in range(count * len(self._paths)):
            due_s += 1 / rate
            while time.perf_counter() < due_s:
                self._read()
            self._send(number % len(self._paths))
        limit_s = time.perf_counter() + _ANSWER_LIMIT_S
        while self._sent_s and time.perf_counter() < limit_s:
            self._read()
        return [sorted(latencies) for latencies in self._latencies]

    def close(self) -> None:
        """Closes every connection."""
        for idle in self._idle:
            for one in idle:
                one.close()
        self._selector.close()

    def _connect(self, number: int, port: int) -> socket.socket:
        one = socket.create_connection(("127.0.0.1", port))
        one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._selector.register(one, selectors.EVENT_READ, number)
        return one

    def _send(self, number: int) -> None:
        idle = self._idle[number]
        while not idle:
            self._read()
        one = idle.pop(0)
        self._left[one] = -1
        self._sent_s[one] = time.perf_counter()
        one.sendall(self._paths[number].request)

    def _read(self) -> None:
        for key, _ in self._selector.select(0):
            one = key.fileobj
            assert isinstance(one, socket.socket)
            data = one.recv(_READ_BYTES)
            now_s = time.perf_counter()
            if not data:
                raise RuntimeError(f"{self._paths[key.data].name}: closed")
            if self._is_whole(one, data):
                latency_s = now_s - self._sent_s.pop(one)
                self._latencies[key.data].append(latency_s)
                self._idle[key.data].append(one)

    def _is_whole(self, one: socket.socket, data: bytes) -> bool:
        left = self._left[one]
        if left < 0:
            head, _, body = data.partition(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                raise RuntimeError(head.decode("latin-1"))
            marker = head.lower().index(b"content-length:")
            size = int(head[marker + 15 :].split(b"\r\n")[0])
            left = size - len(body)
        else:
            left -= len(data)
        self._left[one] = left
        return left <= 0
