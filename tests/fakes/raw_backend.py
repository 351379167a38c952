"""A backend server in memory that writes raw bytes, also without a request."""

from typing import NamedTuple

from twisted.internet import protocol


class RawRequest(NamedTuple):
    """A request that was received whole, and where its answer goes.

    Attributes:
        connection: Connection on which it came; `send` writes to it.
        method: HTTP method.
        path: Request target.
        request_id: Its id.
        headers: Values of all headers, by name in lower case.
    """

    connection: "RawConnection"
    method: str
    path: str
    request_id: str
    headers: dict[str, str]


class RawConnection(protocol.Protocol):
    """Reads requests without a body, one after the other.

    Attributes:
        request_ids: Ids of the requests received, in order.
        is_closed: True once the connection has ended.
    """

    def __init__(self, backend):
        self.backend = backend
        self.request_ids = []
        self.is_closed = False
        self._unread = b""

    def connectionMade(self):
        self.backend.connections.append(self)

    def dataReceived(self, data):
        self._unread += data
        while b"\r\n\r\n" in self._unread:
            head, _, self._unread = self._unread.partition(b"\r\n\r\n")
            first_line, *lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines:
                name, value = line.split(": ", 1)
                headers[name.lower()] = value
            method, path, _ = first_line.split(" ")
            request = RawRequest(
                self,
                method,
                path,
                headers.get("request-id")
                or headers.get("cranberrymux-request-id", ""),
                headers,
            )
            self.request_ids.append(request.request_id)
            self.backend.receive(request)

    def connectionLost(self, reason):
        self.is_closed = True

    def send(self, data):
        """Writes bytes, which arrive in one read."""
        self.transport.write(data)

    def close(self):
        self.transport.loseConnection()

    def reset(self):
        """Ends the connection other than by an orderly close."""
        self.transport.abortConnection()


class RawBackend:
    """Listens on a port of a `MemoryNetwork` in place of another server.

    Attributes:
        on_request: Called with each request; None to leave them open.
        requests: All requests received, in order.
        connections: All connections made so far, in order.
    """

    def __init__(self, network, port, on_request=None):
        self.on_request = on_request
        self.requests = []
        self.connections = []
        network.listen(port, self)

    def buildProtocol(self, addr):
        return RawConnection(self)

    def receive(self, request):
        self.requests.append(request)
        if self.on_request is not None:
            self.on_request(request)
