"""Open-loop HTTP client that measures the latency of each request."""

import selectors
import socket
import time

from bench.latency import path as path_module

_ANSWER_TIMEOUT_S = 5.0
_READ_BYTES = 262144


class Client:
    """Sends requests at a constant rate over equally many connections per path.

    The paths take turns, so that all are measured under the same conditions,
    and so do the connections of a path.
    """

    def __init__(
        self, paths: tuple[path_module.Path, ...], connections: int
    ) -> None:
        """Opens the connections.

        Args:
            paths: The paths to measure.
            connections: Number of connections to each path, 1 or more.
        """
        self._paths = paths
        self._selector = selectors.DefaultSelector()
        self._idle: list[list[socket.socket]] = []
        self._sent_s: dict[socket.socket, float] = {}
        self._left_bytes: dict[socket.socket, int] = {}
        self._latencies_s: list[list[float]] = [[] for _ in paths]
        for index, path in enumerate(paths):
            self._idle.append(
                [self._connect(index, path.port) for _ in range(connections)]
            )

    def run(self, rate: float, count: int) -> list[list[float]]:
        """Sends `count` requests on each path.

        Answers that arrive more than 5 s after the last request are not
        counted.

        Args:
            rate: Requests per second, the sum over all paths.
            count: Number of requests on each path.

        Returns:
            For each path the latencies in seconds, in ascending order.

        Raises:
            RuntimeError: A connection was closed, or an answer was not 200.
        """
        for latencies_s in self._latencies_s:
            latencies_s.clear()
        due_s = time.perf_counter()
        for number in range(count * len(self._paths)):
            due_s += 1 / rate
            while time.perf_counter() < due_s:
                self._read()
            self._send(number % len(self._paths))
        deadline_s = time.perf_counter() + _ANSWER_TIMEOUT_S
        while self._sent_s and time.perf_counter() < deadline_s:
            self._read()
        return [sorted(latencies_s) for latencies_s in self._latencies_s]

    def close(self) -> None:
        """Closes every connection."""
        for idle in self._idle:
            for connection in idle:
                connection.close()
        self._selector.close()

    def _connect(self, path_index: int, port: int) -> socket.socket:
        connection = socket.create_connection(("127.0.0.1", port))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._selector.register(connection, selectors.EVENT_READ, path_index)
        return connection

    def _send(self, path_index: int) -> None:
        idle = self._idle[path_index]
        while not idle:
            self._read()
        connection = idle.pop(0)
        self._left_bytes[connection] = -1
        self._sent_s[connection] = time.perf_counter()
        connection.sendall(self._paths[path_index].request)

    def _read(self) -> None:
        for key, _ in self._selector.select(0):
            connection = key.fileobj
            assert isinstance(connection, socket.socket)
            data = connection.recv(_READ_BYTES)
            now_s = time.perf_counter()
            if not data:
                raise RuntimeError(
                    f"path {self._paths[key.data].name}: "
                    "the server closed the connection"
                )
            if self._is_complete(connection, data):
                latency_s = now_s - self._sent_s.pop(connection)
                self._latencies_s[key.data].append(latency_s)
                self._idle[key.data].append(connection)

    def _is_complete(self, connection: socket.socket, data: bytes) -> bool:
        left_bytes = self._left_bytes[connection]
        if left_bytes < 0:
            head, _, body = data.partition(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                raise RuntimeError(head.decode("latin-1"))
            length_offset = head.lower().index(b"content-length:")
            body_bytes = int(head[length_offset + 15 :].split(b"\r\n")[0])
            left_bytes = body_bytes - len(body)
        else:
            left_bytes -= len(data)
        self._left_bytes[connection] = left_bytes
        return left_bytes <= 0
