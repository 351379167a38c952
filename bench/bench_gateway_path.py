"""Processor time of a call at the caller's and at the endpoint's node.

Requests with the usual headers go through both nodes to a stub of a backend
server, each process on its own. A relay that only copies bytes gives the lower
bound.
"""

from collections.abc import Sequence
import socket
import tempfile

from bench import figure
from bench.capacity import usage
from bench.gateway_path import settings
from cranberrymux.demo import ports as ports_module
from cranberrymux.demo import process

CONNECTIONS = 8
WARM_UP_CALLS = 1000
CALLS = 6000
_ANSWER_TIMEOUT_S = 5.0
_READ_BYTES = 65_536
_HEADERS = (
    "User-Agent: records-client/3.1",
    "Accept: application/json",
    "Accept-Encoding: identity",
    "Content-Type: application/json",
    "Cache-Control: no-cache",
    "Traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01",
    "X-Forwarded-For: 10.1.2.3",
    "X-Forwarded-Proto: https",
    "Connection: keep-alive",
    "Deadline-Ms: 5000",
)


def run() -> bool:
    """Measures both paths; returns True, as the figures have no bound."""
    ports = ports_module.find_free_ports(7)
    caller = settings.NodePorts(*ports[:3])
    endpoint = settings.NodePorts(*ports[3:6])
    relay_port = ports[6]
    arguments: dict[str, tuple[str, Sequence[str | int]]] = {
        "backend": ("stub_backend", [endpoint.backend]),
        "endpoint": ("node", ["endpoint", *endpoint, endpoint.hop]),
        "caller": ("node", ["caller", *caller, endpoint.hop]),
        "relay": ("relay", [relay_port, endpoint.backend]),
    }
    started: dict[str, process.Process] = {}
    with tempfile.TemporaryDirectory(prefix="cranberrymux-bench-") as folder:
        try:
            for name, (module, values) in arguments.items():
                started[name] = process.Process(
                    name,
                    f"bench.gateway_path.{module}",
                    [str(value) for value in values],
                    folder,
                )
            for child in started.values():
                child.wait_for_event("ready")
            _measure(caller.entry, ("caller", "endpoint"), started)
            _measure(relay_port, ("relay",), started)
        finally:
            for child in started.values():
                child.kill()
    return True


def _measure(
    port: int, names: tuple[str, ...], started: dict[str, process.Process]
) -> None:
    """Prints the microseconds for each call at each of the processes."""
    connections = [_connect(port) for _ in range(CONNECTIONS)]
    _send(connections, 0, WARM_UP_CALLS)
    before_s = [usage.read_processor_s(started[name].pid) for name in names]
    _send(connections, WARM_UP_CALLS, CALLS)
    for name, used_s in zip(names, before_s, strict=True):
        spent_s = usage.read_processor_s(started[name].pid) - used_s
        value = round(spent_s / CALLS * 1e6, 1)
        figure.Figure(f"gateway_path.{name}", value, "us/call").print()
    for connection in connections:
        connection.close()


def _connect(port: int) -> socket.socket:
    connection = socket.create_connection(("127.0.0.1", port))
    connection.settimeout(_ANSWER_TIMEOUT_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def _send(connections: list[socket.socket], first: int, count: int) -> None:
    """Sends requests, each with its own id, one at a time on a connection."""
    for number in range(first, first + count, len(connections)):
        for offset, connection in enumerate(connections):
            lines = (
                f"GET {settings.PATH} HTTP/1.1",
                f"Host: {settings.HOST}",
                f"Request-Id: q{number + offset}",
                *_HEADERS,
            )
            connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        for connection in connections:
            _receive(connection)


def _receive(connection: socket.socket) -> None:
    """Reads one answer, which must be a success."""
    data = b""
    while b"\r\n\r\n" not in data or not data.endswith(b"}"):
        received = connection.recv(_READ_BYTES)
        if not received:
            raise RuntimeError("the connection was closed")
        data += received
    if not data.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(data.decode("latin-1"))
