"""What a node reports of its backend server is never older than its answer.

Guards against reports that are kept and sent once more after the load, the
health or the rate limit of the backend server has changed.
"""

import pytest
import structlog

from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import exit_pressure
from cranberrymux.gateway import hop
from cranberrymux.gateway import metrics
from cranberrymux.gateway import running_requests
from cranberrymux.models import socket_address
from tests.gateway import mesh as mesh_module


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep")
    made.configure(mesh_module.make_route("read", "deep"))
    return made


def get_work(mesh):
    return mesh.members[1].gateway._exit.work


def read_load(mesh):
    """Returns requests, per mille failing and percent slowness."""
    report = dict(get_work(mesh).encode_load(mesh.network.seconds()))[hop.LOAD]
    return [int(part) for part in report.split(b"/")]


def fail(call):
    mesh_module.answer_with_id(call, 500, [mesh_module.PROOF_HEADER])


def test_failure_rate_falls_while_no_request_ends(mesh):
    mesh.members[1].backend.answer = fail
    for number in range(10):
        mesh.ask(0, "/read/x", headers=[("Request-Id", f"q{number}")])
    before = read_load(mesh)[1]
    mesh.network.run(1.0)
    after = read_load(mesh)[1]
    assert before > 300
    assert 0.6 * before < after < 0.8 * before  # Time constant: 3 s.


def test_slowness_falls_while_no_request_ends(mesh):
    health = get_work(mesh).health
    for worked_s in (0.01, 0.01, 1.0, 1.0, 1.0):
        now_s = mesh.network.seconds()
        health._slowness.note(now_s, "read", worked_s)
        mesh.network.run(0.1)
    before = read_load(mesh)[2]
    mesh.network.run(2.0)
    assert before > 150
    assert read_load(mesh)[2] < before


def test_running_requests_are_counted_at_once(mesh):
    mesh.members[1].backend.answer = None
    counts = []
    for number in range(3):
        mesh.ask(0, "/read/x", headers=[("Request-Id", f"q{number}")])
        counts.append(read_load(mesh)[0])
    assert counts == [1, 2, 3]
    mesh_module.answer_with_proof(mesh.members[1].backend.calls[0])
    mesh.network.run(0.1)
    assert read_load(mesh)[0] == 2


def test_rate_limit_is_reported_until_the_first_answer_without_it(mesh):
    limit = mesh.members[1].gateway._exit.limit
    limits = [b"50", b"70", None, b"50"]
    name = mesh.members[1].settings.dialect.rate_limit

    def answer(call):
        named = limits[len(mesh.members[1].backend.calls) - 1]
        headers = [] if named is None else [(name, named)]
        mesh_module.answer_with_id(
            call, 200, [mesh_module.PROOF_HEADER, *headers]
        )

    mesh.members[1].backend.answer = answer
    reported = []
    for number in range(4):
        mesh.ask(0, "/read/x", headers=[("Request-Id", f"q{number}")])
        reported.append(limit.per_s)
        assert bool(limit.encode()) == (limit.per_s is not None)
    assert reported == [50.0, 70.0, None, 50.0]


def test_degraded_backend_server_is_noted_and_recovers(mesh):
    health = get_work(mesh).health
    mesh.members[1].backend.answer = fail
    for number in range(10):
        mesh.ask(0, "/read/x", headers=[("Request-Id", f"q{number}")])
    assert health._is_degraded
    mesh.members[1].backend.answer = mesh_module.answer_with_proof
    mesh.network.run(4.0)
    mesh.ask(0, "/read/x", headers=[("Request-Id", "last")])
    assert not health._is_degraded


def test_tree_context_of_one_account_is_not_taken_for_that_of_another():
    """Guards against a kept result that leaves out part of what it is of."""
    names = ["first", "second", "", "first"]
    decoded = []
    for name in names:
        context = hop.TreeContext(1.0, 0.5, False, name)
        headers = [
            (hop.TREE_CONTEXT, hop.encode_tree_context(context)),
            *hop.encode_account(context),
        ]
        decoded.append(hop.decode_tree_context(headers).account)
    assert decoded == names


def test_account_of_one_tree_is_not_taken_for_that_of_another():
    """Guards against a kept key that leaves out part of what it is of."""
    trees = [(0.5, "a", ""), (1.0, "a", ""), (1.5, "a", ""), (1.0, "", "a")]
    keys = [exit_pressure._make_key(*tree) for tree in trees * 2]
    expected = [
        traffic_class_module.make_key(1, "a", ""),
        traffic_class_module.make_key(1, "a", ""),
        traffic_class_module.make_key(2, "a", ""),
        traffic_class_module.make_key(1, "", "a"),
    ]
    assert keys == expected * 2


def test_address_of_one_endpoint_is_not_taken_for_that_of_another():
    """Guards against a kept address that leaves out the port or the host."""
    pairs = [("10.0.0.1", 1), ("10.0.0.1", 2), ("10.0.0.2", 1)] * 2
    assert [socket_address.get(*pair) for pair in pairs] == pairs


def test_requests_at_work_are_counted_while_calls_begin_and_end():
    """Guards against a stall that is seen or missed by a wrong count."""
    running = running_requests.RunningRequests()
    context = hop.DEFAULT_TREE_CONTEXT
    counts = []
    for change in (
        lambda: running.begin(1, context),
        lambda: running.begin(2, context),
        lambda: running.begin_call(1, 0.0),
        lambda: running.begin_call(1, 0.1),
        lambda: running.end_call(1, 0.2, False),
        lambda: running.end_call(1, 0.3, False),
        lambda: running.begin_call(2, 0.4),
        lambda: running.end(2),
        lambda: running.end_call(2, 0.5, False),
        lambda: running.end(3),
        lambda: running.end(1),
    ):
        change()
        counts.append(running.working)
    assert counts == [1, 2, 1, 1, 1, 2, 1, 1, 1, 1, 0]


def test_metrics_count_under_the_labels_of_each_event():
    counted = metrics.GatewayMetrics()
    for status in ("2xx", "5xx", "2xx"):
        counted.hops[status,].inc()
    text = counted.encode().decode()
    assert 'cranberrymux_hops_total{outcome="2xx"} 2.0' in text
    assert 'cranberrymux_hops_total{outcome="5xx"} 1.0' in text


def test_metrics_count_durations_up_to_each_bound():
    counted = metrics.GatewayMetrics()
    for duration_s in (0.0, 0.05, 0.0501, 7.0):
        counted.hold_s["read",].observe(duration_s)
    lines = counted.encode().decode().splitlines()
    name = "cranberrymux_backend_seconds"
    for bound, count in (
        ("0.005", 1),
        ("0.05", 2),
        ("0.1", 3),
        ("5.0", 3),
        ("+Inf", 4),
    ):
        bucket = f'{name}_bucket{{le="{bound}",route="read"}} {count}.0'
        assert bucket in lines
    assert f'{name}_sum{{route="read"}} 7.1001' in lines


def test_update_of_the_share_is_skipped_only_while_it_has_no_effect(mesh):
    """Guards against a share and a log line that come late under load."""
    pressure = get_work(mesh).pressure
    tree_context = hop.DEFAULT_TREE_CONTEXT
    lines_at_s = []
    with structlog.testing.capture_logs() as lines:
        for step in range(1000):
            now_s = step * 0.004
            pressure.note_arrival("read", tree_context)
            pressure.note_hold("read", 0.2)
            before = (pressure.share, len(lines))
            is_skipped = now_s < pressure.due_s
            pressure.update(now_s, None)
            assert not is_skipped or before == (pressure.share, len(lines))
            if len(lines) > before[1]:
                lines_at_s.append(now_s)
    assert pressure.share < 0.5
    assert lines_at_s == pytest.approx([1.0, 2.0, 3.0], abs=0.01)


def test_encoded_work_tells_the_present_share(mesh):
    """Guards against the short form of the report while work is refused."""
    pressure = get_work(mesh).pressure
    context = hop.DEFAULT_TREE_CONTEXT
    for share in (1.0, 0.4, 1.0):
        pressure._meter.share = share
        report = work_report.decode(pressure.encode_report(context, 0.25))
        assert report == {"deep": work_report.ServiceWork(0.25, share)}
        assert report == pressure.report(context, 0.25)
