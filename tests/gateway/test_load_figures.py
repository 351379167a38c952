"""Load figures of backend servers on the whole path of a request.

Guards against invalid figures that change the answer to a request or are not
noticed, and against valid ones that callers never learn of.
"""

import pytest
import structlog

from cranberrymux.decisions.endpoints import backend_load
from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.endpoints import work_time
from cranberrymux.gateway import backend_health
from cranberrymux.gateway import hop
from cranberrymux.gateway import load_report
from cranberrymux.models import endpoint_speed
from cranberrymux.models import load_figures
from tests.gateway import mesh as mesh_module


@pytest.fixture
def mesh():
    # The availability zones alternate; those of "deep" are in that of "front".
    mesh = mesh_module.Mesh("front", "other", "deep", "other", "deep")
    mesh.configure(mesh_module.make_route("read", "deep"))
    return mesh


def answer_with_load(load):
    """Makes a backend server that names `load` in each answer."""

    def answer(call):
        headers = [mesh_module.PROOF_HEADER, (b"server-load", load)]
        mesh_module.answer_with_id(call, 200, headers, b"whole answer")

    return answer


@pytest.mark.parametrize("load", [b"many", b"0,0,0", b"1,2,3,4,5", b"0,0,9,0"])
def test_invalid_figures_are_logged_and_ignored(mesh, load):
    for member in mesh.members[2::2]:
        member.backend.answer = answer_with_load(load)
    with structlog.testing.capture_logs() as lines:
        assert mesh.ask(0, "/read/x").statuses == [200]
    (line,) = [
        entry for entry in lines if entry["event"] == "backend-signal-invalid"
    ]
    assert line["reason"] == "load"
    assert line["detail"]
    assert line["backend_id"] in ("b-2", "b-4")


@pytest.mark.parametrize("load", [b"0,0,10", b"1,0,10,180"])
def test_valid_figures_are_not_logged(mesh, load):
    for member in mesh.members[2::2]:
        member.backend.answer = answer_with_load(load)
    with structlog.testing.capture_logs() as lines:
        assert mesh.ask(0, "/read/x").statuses == [200]
    assert "backend-signal-invalid" not in [entry["event"] for entry in lines]


def serve(mesh, number, work_s, load):
    """Lets a backend server work for `work_s` and name `load`."""

    def answer(call):
        mesh.network.callLater(work_s, answer_with_load(load), call)

    mesh.members[number].backend.answer = answer


def ask_many(mesh, count):
    for number in range(count):
        if number % 50 == 0:
            for member in mesh.members:
                member.announce()
        headers = [("Request-Id", f"q{number}")]
        mesh.ask(0, "/read/x", headers=headers, wait=0.03)


def find_views(mesh, at=0):
    endpoints = mesh.members[at].gateway._parts.endpoints
    return endpoints.find("n-2"), endpoints.find("n-4")


def test_callers_learn_which_endpoint_is_faster(mesh):
    """Guards against equal shares for endpoints of unequal speed."""
    serve(mesh, 2, 0.008, b"0,0,10,100")
    serve(mesh, 4, 0.024, b"0,0,10,100")
    ask_many(mesh, 3 * work_time.MINIMUM_SAMPLES)
    now_s = mesh.network.seconds()
    fast, slow = find_views(mesh)
    assert fast.relative_time.at(now_s) < 0.75
    assert fast.cost(now_s) < slow.cost(now_s)
    before = len(mesh.members[4].backend.calls)
    ask_many(mesh, 50)
    assert len(mesh.members[4].backend.calls) - before <= 5


def test_new_process_of_a_backend_server_starts_with_the_usual_speed(mesh):
    serve(mesh, 2, 0.008, b"0,0,10")
    serve(mesh, 4, 0.024, b"0,0,10")
    ask_many(mesh, 3 * work_time.MINIMUM_SAMPLES)
    mesh.members[4].announce(backend_id="b-new", started_ms=2)
    mesh.network.run(0.1)
    _, slow = find_views(mesh)
    assert slow.relative_time.at(mesh.network.seconds()) == 1.0
    assert read_speed(mesh, 4) is None


def test_false_figures_do_not_divert_requests(mesh):
    """One backend server claims to be full, tiny and slow; it is not."""
    serve(mesh, 2, 0.01, b"0,0,10,100")
    serve(mesh, 4, 0.01, b"900000,900000,1,9000")
    ask_many(mesh, 400)
    shares = [len(mesh.members[place].backend.calls) for place in (2, 4)]
    assert min(shares) > 0.4 * sum(shares)


def read_speed(mesh, number):
    work = mesh.members[number].gateway._exit.work
    return dict(work.encode_load(mesh.network.seconds())).get(hop.SPEED)


def test_encoded_speed_is_not_kept_when_the_figures_change(mesh):
    """Guards against answers with the speed of earlier figures."""
    serve(mesh, 2, 0.01, b"0,0,10,100")
    ask_many(mesh, 3 * work_time.MINIMUM_SAMPLES)
    health = mesh.members[2].gateway._exit.work.health
    for slots in (11, 12, 12, 13):
        health.note_figures(load_figures.LoadFigures(0, 0, slots, 1.0), 0)
        assert read_speed(mesh, 2).startswith(b"%d/" % slots)
    later_s = mesh.network.seconds() + backend_load.FIGURES_LIFETIME_S
    assert dict(health.encode_report(later_s, 0))[hop.SPEED].startswith(b"0/")


def test_encoded_speed_is_kept_for_a_few_milliseconds_only(mesh):
    """Guards against answers with the working time of earlier requests."""
    serve(mesh, 2, 0.01, b"0,0,10,100")
    ask_many(mesh, 3 * work_time.MINIMUM_SAMPLES)
    before = read_speed(mesh, 2)
    health = mesh.members[2].gateway._exit.work.health
    for _ in range(50):
        health.note_work_time(
            mesh.network.seconds(),
            "read",
            1.0,
            1.0,
            run_outcome.RunOutcome.SERVED,
        )
    mesh.network.run(backend_health.SPEED_LIFETIME_S)
    assert read_speed(mesh, 2) != before


def encode(report):
    """Returns the headers of a report."""
    load = load_report.encode_load(
        report.requests, report.failure_rate, report.slowness
    )
    if report.speed is None:
        return [(hop.LOAD, load)]
    return [
        (hop.LOAD, load),
        (hop.SPEED, load_report.encode_speed(report.speed)),
    ]


class TestReport:
    """The load report between nodes, of this and of earlier versions."""

    SPEED = endpoint_speed.EndpointSpeed(44, 0.0205, 0.5, 2.5)

    def test_is_read_as_it_was_written(self):
        report = load_report.LoadReport(7, 0.25, 1.5, self.SPEED)
        assert load_report.decode_load(encode(report)) == report
        without = report._replace(speed=None)
        assert load_report.decode_load(encode(without)) == without

    def test_nodes_of_earlier_versions_read_it(self):
        """They take a report of more or fewer than three numbers as invalid."""
        report = load_report.LoadReport(7, 0.25, 1.5, self.SPEED)
        assert dict(encode(report))[hop.LOAD] == b"7/250/150"
        old = [(hop.LOAD, b"7/250/150")]
        assert load_report.decode_load(old) == report._replace(speed=None)

    def test_numbers_of_later_versions_are_ignored(self):
        headers = [(hop.LOAD, b"7/250/150/x"), (hop.SPEED, b"44/20500/50/250/")]
        report = load_report.LoadReport(7, 0.25, 1.5, self.SPEED)
        assert load_report.decode_load(headers) == report

    @pytest.mark.parametrize(
        "speed",
        [b"", b"1/2/3", b"0/0/50/100", b"0/9/101/100", b"0/9/50/0", b"a/b/c/d"],
    )
    def test_invalid_speed_is_ignored(self, speed):
        headers = [(hop.LOAD, b"7/250/150"), (hop.SPEED, speed)]
        assert load_report.decode_load(headers) == load_report.LoadReport(
            7, 0.25, 1.5
        )
