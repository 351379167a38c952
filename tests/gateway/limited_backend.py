"""A backend server in memory that names rate limits or says that it leaves."""

import itertools
import random

from tests.fakes import raw_client
from tests.gateway import mesh as mesh_module
from tests.soak import rate_limits

LIMIT_HEADER = b"server-limit"
_NUMBERS = itertools.count(1)
WORK_S = 0.05


class LimitedBackend:
    """Answers for a member of a mesh, each request after about `WORK_S`.

    Attributes:
        answer: Called with each request and the headers to add, to answer it.
        work_s: Mean time that it takes for a request, seconds.
        headers: Headers that it adds to its answers to requests.
        health_headers: Headers that it adds to its answers to health checks;
            none at first, so that a new node does not learn of a limit.
        arrivals: Requests that it got.
        namings: The limits that it named.
    """

    def __init__(self, member, seed=1):
        self.answer = self._answer_with_success
        self.work_s = WORK_S
        self.headers = []
        self.health_headers = []
        self.arrivals = []
        self.namings = []
        self._member = member
        self._network = member.mesh.network
        self._random = random.Random(seed)
        member.backend.answer = self._handle

    def name(self, per_s):
        """Names a limit from now on; None for no limit."""
        self.namings.append(rate_limits.Naming(self._network.seconds(), per_s))
        self.headers = []
        if per_s is not None:
            self.headers = [(LIMIT_HEADER, b"%g" % per_s)]

    def count_since(self, from_s):
        """Returns the number of requests that arrived since a time."""
        return sum(arrival.at_s >= from_s for arrival in self.arrivals)

    def _handle(self, call):
        request_id = dict(call.head.headers).get(b"request-id", b"").decode()
        if not request_id:
            self._answer_health_check(call)
            return
        self.arrivals.append(
            rate_limits.Arrival(
                self._network.seconds(), request_id.partition("-")[0]
            )
        )
        work_s = self.work_s * self._random.uniform(0.5, 1.5)
        self._network.callLater(work_s, self.answer, call, self.headers)

    def _answer_health_check(self, call):
        headers = [
            *self.health_headers,
            (b"instance-id", self._member.backend_id.encode()),
            (b"server-load", b"0,0,%d" % self._member.slots),
        ]
        call.answer(200, headers, b"")

    def _answer_with_success(self, call, headers):
        mesh_module.answer_with_id(
            call, 200, [mesh_module.PROOF_HEADER, *headers], b"whole answer"
        )


class TimedClient(raw_client.RawClient):
    """A client of one request.

    Attributes:
        request_id: Id of the request.
        sent_s: Time of sending, seconds of the network.
        answered_s: Time of the first bytes of the answer; None before.
    """

    def __init__(self, network, request_id):
        super().__init__()
        self.request_id = request_id
        self.sent_s = network.seconds()
        self.answered_s = None
        self._network = network

    def dataReceived(self, data):
        if self.answered_s is None:
            self.answered_s = self._network.seconds()
        super().dataReceived(data)

    @property
    def wait_s(self):
        return self.answered_s - self.sent_s

    @property
    def instance(self):
        """Name of the instance where the request began."""
        return self.request_id.partition("-")[0]

    def find_header(self, name):
        """Returns the value of a header of the answer; None without it."""
        head = self.received.partition(b"\r\n\r\n")[0].decode().lower()
        for line in head.split("\r\n")[1:]:
            found, _, value = line.partition(": ")
            if found == name:
                return value
        return None


class Load:
    """Sends requests through nodes of a mesh at a steady rate.

    The id of a request begins with the name of the node where it begins.

    Attributes:
        clients: The client of each request, in the order of sending.
    """

    def __init__(self, mesh, entries, per_s, path="/read/x"):
        self.clients = []
        self._mesh = mesh
        self._entries = entries
        self._interval_s = 1.0 / per_s
        self._path = path
        self._is_stopped = False
        self._send()

    @property
    def bindings(self):
        """The instances that passed on an answer with a limit."""
        return [
            rate_limits.Binding(client.answered_s, client.instance)
            for client in self.clients
            if client.find_header(LIMIT_HEADER.decode()) is not None
        ]

    def since(self, from_s):
        """Returns the clients whose request was sent at or after a time."""
        return [client for client in self.clients if client.sent_s >= from_s]

    def stop(self):
        self._is_stopped = True

    def _send(self):
        if self._is_stopped:
            return
        for entry in self._entries:
            request_id = f"n{entry}-{next(_NUMBERS)}"
            client = TimedClient(self._mesh.network, request_id)
            port = self._mesh.members[entry].entry_port
            self._mesh.network.connect(port, client)
            client.send(
                mesh_module.encode(
                    self._path, headers=[("Request-Id", request_id)]
                )
            )
            self.clients.append(client)
        self._mesh.network.callLater(self._interval_s, self._send)
