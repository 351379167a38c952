"""Backend servers in memory that end under one request and start again."""

import itertools
from typing import NamedTuple

from tests.fakes import raw_client
from tests.gateway import mesh as mesh_module

STABILITY_WINDOW_S = 3.0
CRASH_PATH = "/read/crash?token=secret"
_NUMBERS = itertools.count(1)


class Run(NamedTuple):
    """A run that a backend server began.

    Attributes:
        at_s: Time of its beginning, seconds of the network.
        target: Request target.
        backend_id: Id of the backend server.
    """

    at_s: float
    target: str
    backend_id: str


class Crashes:
    """What the backend servers of a mesh have seen together.

    Attributes:
        runs: All runs.
        deaths_s: Times at which a server ended under the crashing request.
    """

    def __init__(self):
        self.runs = []
        self.deaths_s = []

    def count_late_runs(self, target=CRASH_PATH):
        """Returns the runs of a request that the rule counts.

        These began later than `STABILITY_WINDOW_S` after its third death.
        """
        if len(self.deaths_s) < 3:
            return 0
        from_s = self.deaths_s[2] + STABILITY_WINDOW_S
        return sum(
            run.at_s > from_s for run in self.runs if run.target == target
        )


class CrashingBackend:
    """Answers for a member of a mesh, and ends under `CRASH_PATH`.

    Attributes:
        work_s: Time that it takes for a request, seconds.
        crash_after_s: Time after which it ends, seconds.
        down_s: Time after which it is back, with another id, seconds.
        is_crashing: Called with each request; True if it ends under it.
        announce_delay_s: Time after its start at which it announces itself.
        is_failing: True if it answers with 500.
        never_answers: Called with each request; True if it hangs.
        keeps_id: True if it is back with the id that it had.
        is_up: True while it runs.
    """

    def __init__(self, member, crashes, *, crash_after_s=0.1, down_s=1.5):
        self.work_s = 0.02
        self.crash_after_s = crash_after_s
        self.down_s = down_s
        self.is_crashing = lambda call: call.head.target == CRASH_PATH.encode()
        self.never_answers = lambda call: False
        self.announce_delay_s = 0.0
        self.is_failing = False
        self.keeps_id = False
        self.is_up = True
        self._member = member
        self._crashes = crashes
        self._network = member.mesh.network
        self._starts = 0
        member.backend.answer = self._handle

    @property
    def backend_id(self):
        return self._member.backend_id

    def end(self):
        """Ends at once, as under a signal, and is back after `down_s`."""
        if not self.is_up:
            return
        self.is_up = False
        self._member.backend.crash()
        self._network.callLater(self.down_s, self._start)

    def _start(self):
        self._starts += 1
        self.is_up = True
        member = self._member
        member.backend.start()
        if not self.keeps_id:
            member.backend_id = f"{member.settings.node_id}-{self._starts}"
        member.started_ms = 1 + int(self._network.seconds() * 1000)
        self._network.callLater(self.announce_delay_s, member.announce_if_up)

    def _handle(self, call):
        headers = dict(call.head.headers)
        if b"request-id" not in headers:
            self._answer_health_check(call)
            return
        backend_id = self._member.backend_id
        self._crashes.runs.append(
            Run(self._network.seconds(), call.head.target.decode(), backend_id)
        )
        is_crashing = self.is_crashing(call)
        if self.never_answers(call):
            return
        if is_crashing:
            self._network.callLater(
                self.crash_after_s, self._end_under_request, backend_id
            )
        else:
            self._network.callLater(self.work_s, self._answer, call, backend_id)

    def _answer_health_check(self, call):
        headers = [
            (b"instance-id", self._member.backend_id.encode()),
            (b"server-load", b"0,0,%d" % self._member.slots),
        ]
        call.answer(200, headers, b"")

    def _answer(self, call, backend_id):
        if not self.is_up or backend_id != self._member.backend_id:
            return
        if self.is_failing:
            mesh_module.answer_with_id(call, 500)
        else:
            mesh_module.answer_with_proof(call)

    def _end_under_request(self, backend_id):
        if self.is_up and backend_id == self._member.backend_id:
            self._crashes.deaths_s.append(self._network.seconds())
            self.end()


class Caller:
    """Sends one request again and again, with a new id, at nodes in turn.

    Attributes:
        clients: The client of each attempt, in the order of sending.
    """

    def __init__(self, mesh, entries, per_s, path, **request):
        self.clients = []
        self._mesh = mesh
        self._entries = itertools.cycle(entries)
        self._interval_s = 1.0 / per_s
        self._path = path
        self._request = request
        self._is_stopped = False
        self._send()

    def stop(self):
        self._is_stopped = True

    def count_served_since(self, from_s):
        """Returns how many of the attempts since then were served, and all."""
        sent = [client for at_s, client in self.clients if at_s >= from_s]
        return sum(client.statuses == [200] for client in sent), len(sent)

    def _send(self):
        if self._is_stopped:
            return
        member = self._mesh.members[next(self._entries)]
        if member.entry_port in self._mesh.network.factories:
            client = raw_client.RawClient()
            self._mesh.network.connect(member.entry_port, client)
            headers = [("Request-Id", f"r-{next(_NUMBERS)}")]
            client.send(
                mesh_module.encode(self._path, headers=headers, **self._request)
            )
            self.clients.append((self._mesh.network.seconds(), client))
        self._mesh.network.callLater(self._interval_s, self._send)
