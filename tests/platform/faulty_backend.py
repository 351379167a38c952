"""A backend server on real sockets that answers as a test tells it to."""

import http.client
import json
import socket
import threading
import time
from typing import NamedTuple

from tests.fakes import resets

ANNOUNCE_PERIOD_S = 0.4
BACKEND_ID = "b-faulty"
PROOF = "Server-Stamp: proof"
_READ_BYTES = 1 << 16
_HEALTHY = (
    f"HTTP/1.1 200 OK\r\nInstance-Id: {BACKEND_ID}\r\nContent-Length: 0\r\n\r\n"
).encode()


class Request(NamedTuple):
    """A request whose head has been read.

    Attributes:
        connection: The socket on which it came.
        method: HTTP method.
        headers: Values of all headers, by name in lower case.
        body: What has been read of the body.
    """

    connection: socket.socket
    method: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self):
        return self.headers["request-id"]


class FaultyBackend:
    """Announces itself to a node, and answers each request by `answer`.

    Attributes:
        answer: Called with each `Request` in a thread of its connection.
    """

    def __init__(self, address, service, zone, announce_address, answer):
        """Starts to listen and to announce itself.

        Args:
            address: IP address and port.
            service: Service that it offers.
            zone: Its availability zone.
            announce_address: Address of the node for announcements.
            answer: See above.
        """
        self.answer = answer
        self._address = address
        self._service = service
        self._zone = zone
        self._announce_address = announce_address
        self._born_ms = time.time_ns() // 1_000_000
        self._is_closed = False
        self._listener = socket.create_server(address, backlog=256)
        self._threads = [
            threading.Thread(target=target, daemon=True)
            for target in (self._accept_forever, self._announce_forever)
        ]
        for thread in self._threads:
            thread.start()

    def close(self):
        self._is_closed = True
        self._listener.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join()
        self._listener.close()

    def _accept_forever(self):
        while not self._is_closed:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            try:
                while request := read_head(connection):
                    if request.method == "GET" and (
                        "request-id" not in request.headers
                    ):
                        connection.sendall(_HEALTHY)
                    else:
                        self.answer(request)
            except OSError:
                return  # The connection has ended.

    def _announce_forever(self):
        sequence = 0
        while not self._is_closed:
            sequence += 1
            self._announce(sequence)
            time.sleep(ANNOUNCE_PERIOD_S)

    def _announce(self, sequence):
        host, port = self._address
        body = {
            "service": self._service,
            "addr": f"{host}:{port}",
            "zone": self._zone,
            "version": "v1",
            "concurrency": 32,
            "state": "ready",
            "cold_left": "0ms",
            "seq": sequence,
            "born": self._born_ms,
        }
        connection = http.client.HTTPConnection(
            *self._announce_address, timeout=1.0
        )
        try:
            connection.request(
                "PUT",
                f"/cranberrymux/instances/{BACKEND_ID}",
                json.dumps(body),
            )
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # The next announcement follows.
        finally:
            connection.close()


def read_head(connection):
    """Reads the head of a request; None if the connection has ended."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(_READ_BYTES)
        if not received:
            return None
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")
    fields = [line.split(":", 1) for line in lines]
    headers = {name.lower(): value.strip() for name, value in fields}
    return Request(connection, first_line.split(" ")[0], headers, body)


def answer_whole(request):
    """Answers a request without a body as a sound backend server does."""
    body = b"answer to " + request.request_id.encode()
    head = encode_head(request.request_id, f"Content-Length: {len(body)}")
    request.connection.sendall(
        head if request.method == "HEAD" else head + body
    )


def encode_head(request_id, *lines, status="200 OK"):
    """Encodes the head of an answer with its proof and id."""
    all_lines = [f"HTTP/1.1 {status}", PROOF, f"Request-Id: {request_id}"]
    return "\r\n".join([*all_lines, *lines]).encode("latin-1") + b"\r\n\r\n"


def close_unread(connection):
    """Closes a connection with bytes on it that were not read."""
    connection.close()


def end_output_and_reset(connection):
    """Ends a connection by a reset behind what looks like an orderly end."""
    connection.shutdown(socket.SHUT_WR)
    resets.reset(connection)
