"""The path of a request from the entry port to a backend server and back.

Guards against requests that are lost, answered twice or run twice when a
backend server refuses, fails, falls silent or leaves, when a node stops, and
when a client disconnects or has hardly any time left.
"""

import pytest

from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.routes import route
from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.gateway import ports as ports_module
from tests.fakes import raw_backend
from tests.gateway import mesh as mesh_module

DRAINING = announcement.BackendState.DRAINING
ONCE = route.Repeatability.ONCE


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep", "deep")
    made.configure(
        mesh_module.make_route("read", "deep"),
        mesh_module.make_route("write", "deep", repeatability=ONCE),
    )
    return made


def reached_requests(mesh):
    """Returns all requests that reached a backend server."""
    return [call for member in mesh.members for call in member.backend.calls]


def test_replaces_headers_that_only_the_node_may_set(mesh):
    client = mesh.ask(
        0,
        "/read/x?page=2",
        headers=[("Caller-Service", "forged"), ("cranberrymux-rank", "0")],
    )
    assert client.statuses == [200]
    assert client.received.endswith(b"answer to r1")
    assert b"cranberrymux" not in client.received.lower()
    (call,) = reached_requests(mesh)
    headers = dict(call.head.headers)
    assert call.head.target == b"/read/x?page=2"
    assert headers[b"caller-service"] == b"front"
    assert headers[b"expect-instance"] in (b"b-1", b"b-2")
    assert 900 < int(headers[b"deadline-ms"]) < 1000
    assert not any(name.startswith(b"cranberrymux") for name in headers)


def test_passes_on_the_remaining_time_as_deadline(mesh):
    mesh.ask(0, "/read/x", headers=[("Deadline-Ms", "300")])
    (call,) = reached_requests(mesh)
    assert 250 < int(dict(call.head.headers)[b"deadline-ms"]) < 300


def test_answers_503_before_any_configuration_is_known():
    mesh = mesh_module.Mesh("front")
    client = mesh.ask(0, "/read/x")
    assert client.statuses == [503]
    assert b"retry-after: 0." in client.received
    assert not mesh.members[0].gateway.is_ready


def test_answers_404_where_no_route_matches(mesh):
    assert mesh.ask(0, "/other/x").statuses == [404]


def test_answers_400_to_a_request_without_an_id(mesh):
    """Guards against answers that cannot be told from one another."""
    assert mesh.ask(0, "/read/x", headers=[("Request-Id", "")]).statuses == [
        400
    ]
    client = mesh.connect(0)
    client.send(b"GET /read/x HTTP/1.1\r\nHost: records.example\r\n\r\n")
    mesh.network.run(0.1)
    assert client.statuses == [400]
    assert reached_requests(mesh) == []


def test_passes_on_a_chunked_body(mesh):
    client = mesh.connect(0)
    client.send(
        b"POST /write/x HTTP/1.1\r\nHost: records.example\r\n"
        b"Request-Id: r1\r\nDeadline-Ms: 5000\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    mesh.network.run(0.1)
    assert client.statuses == [200]
    assert reached_requests(mesh)[0].buffered_body() == b"abcde"


def test_streams_a_body_longer_than_the_buffer(mesh):
    length = ports_module.BUFFERED_BODY_BYTES + 70_000
    client = mesh.ask(0, "/write/x", method="POST", body=b"x" * length)
    assert client.statuses == [200]
    assert reached_requests(mesh)[0].body_length == length


@pytest.mark.parametrize("path", ["/read/x", "/write/x"])
def test_sends_to_another_endpoint_when_the_first_is_draining(mesh, path):
    mesh.members[1].gateway.announce(
        announcement.Announcement(
            "b-1", 1, 9, "deep", "10.0.0.1:1014", "z1", 10, DRAINING, 0.0
        )
    )  # The records at the other gateways are not updated.
    for number in range(10):
        headers = [("Request-Id", f"q{number}")]
        assert mesh.ask(0, path, headers=headers).statuses == [200]
    assert mesh.members[1].backend.calls == []


def test_a_running_request_is_answered_while_its_endpoint_drains(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = None
    client = mesh.ask(0, "/write/x")
    (call,) = reached_requests(mesh)
    for member in mesh.members[1:]:
        member.announce(DRAINING)
    mesh_module.answer_with_proof(call)
    mesh.network.run(0.1)
    assert client.statuses == [200]


def test_repeats_an_idempotent_request_after_a_lost_answer(mesh):
    mesh.members[1].backend.answer = lambda call: call.abort()
    mesh.members[2].backend.answer = mesh_module.answer_with_proof
    for number in range(4):
        headers = [("Request-Id", f"q{number}")]
        assert mesh.ask(0, "/read/x", headers=headers).statuses == [200]


def test_answers_502_without_repeat_when_a_once_only_answer_is_lost(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = lambda call: call.abort()
    client = mesh.ask(0, "/write/x")
    assert client.statuses == [502]
    assert len(reached_requests(mesh)) == 1


def test_repeats_stay_within_the_shared_budget(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = lambda call: call.abort()
    count = 200
    for number in range(count):
        mesh.ask(
            0, "/read/x", headers=[("Request-Id", f"q{number}")], wait=0.01
        )
    repeats = len(reached_requests(mesh)) - count
    assert 0 < repeats <= 0.2 * count + 40 / 3


def test_answers_503_when_all_backend_servers_refuse(mesh):
    def refuse(call):
        mesh_module.answer_with_id(call, 503, [(b"not-run", b"1")])

    for member in mesh.members[1:]:
        member.backend.answer = refuse
    client = mesh.ask(0, "/write/x")
    assert client.statuses == [503]
    assert b"retry-after" in client.received


def test_answers_502_when_a_success_has_no_proof(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = lambda call: mesh_module.answer_with_id(
            call, 200, body=b"x"
        )
    assert mesh.ask(0, "/write/x").statuses == [502]


def test_passes_on_a_failure_of_the_backend_server(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = lambda call: mesh_module.answer_with_id(
            call, 500, [mesh_module.PROOF_HEADER], b"broken"
        )
    client = mesh.ask(0, "/read/x")
    assert client.statuses == [500]
    assert b"server-stamp: proof" in client.received


def test_answers_504_at_the_deadline_when_the_backend_server_is_silent(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = None
    client = mesh.ask(0, "/write/x", wait=1.1)
    assert client.statuses == [504]
    cancelled = [
        call for member in mesh.members for call in member.backend.cancelled
    ]
    assert len(cancelled) == 1


def test_cancels_the_request_when_the_client_disconnects(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = None
    client = mesh.ask(0, "/read/x")
    client.transport.loseConnection()
    mesh.network.run(0.1)
    cancelled = [
        call for member in mesh.members for call in member.backend.cancelled
    ]
    assert len(cancelled) == 1


def test_answers_503_when_another_backend_server_has_the_address(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = lambda call: mesh_module.answer_with_id(
            call, 421
        )
    assert mesh.ask(0, "/write/x").statuses == [503]


def test_answers_503_when_the_backend_server_was_replaced(mesh):
    record = mesh.members[1].gateway._own_endpoint.record
    mesh.members[2].gateway.leave("b-2")
    mesh.members[1].gateway.leave("b-1")
    mesh.members[1].backend_id = "b-new"
    mesh.members[1].gateway.announce(
        announcement.Announcement(
            "b-new",
            5,
            1,
            "deep",
            "10.0.0.1:1014",
            "z1",
            10,
            announcement.BackendState.SERVING,
            0.0,
        )
    )
    assert record.backend_id == "b-1"
    assert mesh.ask(0, "/write/x").statuses == [503]
    assert reached_requests(mesh) == []


def test_sends_no_more_requests_than_slots_to_a_backend_server(mesh):
    for member in mesh.members[1:]:
        member.backend.answer = None
    for number in range(60):
        mesh.ask(
            0, "/write/x", headers=[("Request-Id", f"q{number}")], wait=0.0
        )
    mesh.network.run(0.1)
    handed_over = [len(member.backend.calls) for member in mesh.members]
    assert handed_over == [0, 9, 9]  # One of ten slots stays free.


class TestStop:
    def test_answers_open_requests_of_the_entry_port(self, mesh):
        for member in mesh.members[1:]:
            member.backend.answer = None
        client = mesh.ask(0, "/write/x")
        mesh.members[0].gateway.stop()
        assert not mesh.members[0].gateway.is_ready
        mesh.network.run(0.7)
        mesh_module.answer_with_proof(reached_requests(mesh)[0])
        mesh.network.run(0.1)
        assert client.statuses == [200]
        assert b"connection: close" in client.received

    def test_answers_requests_that_run_at_the_backend_server(self, mesh):
        for member in mesh.members[1:]:
            member.backend.answer = None
        client = mesh.ask(0, "/write/x")
        for member in mesh.members[1:]:
            member.gateway.stop()
        mesh.network.run(0.7)
        mesh_module.answer_with_proof(reached_requests(mesh)[0])
        mesh.network.run(0.1)
        assert client.statuses == [200]

    def test_waits_for_a_request_that_arrived_during_the_stop(self, mesh):
        for member in mesh.members[1:]:
            member.backend.answer = None
        mesh.members[0].gateway.stop()
        mesh.network.run(gateway_module.MINIMUM_STOP_S - 0.3)
        client = mesh.ask(0, "/write/x", wait=0.6)
        assert not mesh.network.is_stopped
        mesh_module.answer_with_proof(reached_requests(mesh)[0])
        mesh.network.run(0.3)
        assert client.statuses == [200]
        assert mesh.network.is_stopped

    def test_refuses_late_in_the_stop_a_request_that_may_outlast_it(self, mesh):
        """Clients keep sending if too few other nodes of a zone are ready."""
        for member in mesh.members[1:]:
            member.backend.answer = None
        mesh.configure(
            mesh_module.make_route("read", "deep"),
            mesh_module.make_route("long", "deep", timeout_s=60.0),
            label=2,
        )
        mesh.ask(0, "/long/x", headers=[("Deadline-Ms", "60000")])
        mesh.members[0].gateway.stop()
        mesh.network.run(2.0, step_s=0.01)
        early = mesh.ask(0, "/read/x", headers=[("Request-Id", "early")])
        assert early.statuses == []
        mesh_module.answer_with_proof(reached_requests(mesh)[-1])
        mesh.network.run(2.4, step_s=0.01)
        assert early.statuses == [200]
        runs = len(reached_requests(mesh))
        late = mesh.ask(0, "/read/x", headers=[("Request-Id", "late")])
        assert late.statuses == [503]
        assert b"retry-after" in late.received
        assert len(reached_requests(mesh)) == runs


class TestClientLimits:
    def test_closes_a_connection_after_the_idle_timeout(self, mesh):
        client = mesh.ask(0, "/read/x")
        mesh.network.run(50, step_s=0.1)
        assert not client.is_closed
        mesh.network.run(15, step_s=0.1)
        assert client.is_closed

    def test_closes_a_connection_whose_head_is_not_complete_in_time(self, mesh):
        client = mesh.connect(0)
        client.send(b"GET /read/x HTTP/1.1\r\nHost: rec")
        mesh.network.run(9, step_s=0.1)
        assert not client.is_closed
        mesh.network.run(4, step_s=0.1)
        assert client.is_closed

    def test_keeps_a_connection_open_while_its_request_runs(self, mesh):
        for member in mesh.members[1:]:
            member.backend.answer = None
        mesh.configure(
            mesh_module.make_route("read", "deep", timeout_s=100.0), label=2
        )
        client = mesh.ask(0, "/read/x", headers=[("Deadline-Ms", "90000")])
        mesh.network.run(70, step_s=0.1)
        assert not client.is_closed

    def test_answers_431_when_headers_exceed_the_limit(self, mesh):
        headers = [("X-Long", "x" * 40_000)]
        assert mesh.ask(0, "/read/x", headers=headers).statuses == [431]


class TestBackendServerRefusals:
    """Backend servers that refuse every other request they get."""

    @staticmethod
    def refuse_every_other(mesh):
        arrivals = []

        def answer(call):
            arrivals.append(call)
            if len(arrivals) % 2:
                mesh_module.answer_with_id(call, 503, [(b"not-run", b"1")])
            else:
                mesh_module.answer_with_proof(call)

        for member in mesh.members[1:]:
            member.backend.answer = answer
        return arrivals

    def test_asks_the_same_endpoint_again_when_the_route_has_one_attempt(
        self, mesh
    ):
        mesh.configure(
            mesh_module.make_route("once", "deep", attempts=1), label=2
        )
        self.refuse_every_other(mesh)
        assert mesh.ask(0, "/once/x").statuses == [200]
        reached = [member for member in mesh.members if member.backend.calls]
        assert len(reached) == 1

    def test_spends_repeats_on_the_most_important_requests_first(self, mesh):
        mesh.configure(
            mesh_module.make_route("first", "deep", priority=0),
            mesh_module.make_route("last", "deep", priority=3),
            label=2,
        )
        arrivals = self.refuse_every_other(mesh)
        served = {"first": 0, "last": 0}
        for number in range(300):
            name = "first" if number % 6 == 0 else "last"
            headers = [("Request-Id", f"q{number}")]
            client = mesh.ask(0, f"/{name}/x", headers=headers, wait=0.01)
            served[name] += client.statuses == [200]
        assert served["first"] > 45  # Of 50 requests.
        assert len(arrivals) - 300 <= 0.2 * 300 + 40 / 3


@pytest.mark.parametrize("deadline_ms", ["0", "1", "2", "3"])
def test_counts_a_request_once_when_its_deadline_is_nearly_over(
    mesh, deadline_ms
):
    for member in mesh.members[1:]:
        member.backend.answer = None
    client = mesh.ask(
        0, "/read/x", headers=[("Deadline-Ms", deadline_ms)], wait=0.5
    )
    assert client.statuses in ([503], [504])
    text = mesh.members[0].gateway._parts.metrics.encode().decode()
    counts = [
        float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith("cranberrymux_requests_total")
    ]
    assert sum(counts) == 1


@pytest.mark.parametrize(
    "headers",
    [[(f"x-{number}", "v") for number in range(97)], [("x", "v" * 32_700)]],
)
def test_passes_on_as_many_headers_as_a_client_may_send(mesh, headers):
    """Guards against a request that the client's node takes and the next not.

    The next node would reject it without its id, so that it counts as lost.
    """
    requests = []
    for member in mesh.members[1:]:
        backend = raw_backend.RawBackend(mesh.network, member.backend_port)
        backend.on_request = requests.append
    mesh.ask(0, "/write/x", headers=headers)
    assert [request.request_id for request in requests] == ["r1"]
