"""A request that crashes the backend servers that run it.

Guards against repeats without end of such a request (issue 23): it reaches
backend servers at most three times more, over all nodes together, later than
three seconds after its third death.
"""

import pytest
import structlog

from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.telemetry import event
from tests.gateway import crash_scene
from tests.gateway import crashing_backend
from tests.gateway import mesh as mesh_module

MAXIMUM_LATE_RUNS = 3
WRITE = "/write/crash?token=secret"


@pytest.mark.parametrize("crash_after_s", [0.0, 0.1])
def test_crashing_request_is_sent_at_most_three_times_more(crash_after_s):
    scene = crash_scene.Scene(crash_after_s=crash_after_s)
    scene.call(3.3)
    scene.run(16)
    assert len(scene.crashes.deaths_s) >= 2
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS


def test_other_requests_are_served_beside_a_crashing_request():
    scene = crash_scene.Scene()
    scene.call(3.3)
    others = scene.call(60, "/read/other")
    scene.run(16)
    others.stop()
    scene.run(1)
    served, sent = others.count_served_since(13.0)
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS
    assert served == sent > 100


@pytest.mark.parametrize("body_bytes", [6, 3 << 20])
def test_request_with_a_body_is_known_by_it(body_bytes):
    scene = crash_scene.Scene()
    body = b"secret" * (body_bytes // 6)
    for backend in scene.backends:
        backend.is_crashing = lambda call: call.head.method == b"POST"
    scene.call(3.3, WRITE, method="POST", body=body)
    scene.run(16)
    assert len(scene.crashes.deaths_s) >= 2
    assert scene.crashes.count_late_runs(WRITE) <= MAXIMUM_LATE_RUNS
    assert len(scene.crashes.deaths_s) <= 6


def test_runs_that_time_out_or_fail_clear_nothing():
    scene = crash_scene.Scene(has_control=True)
    runs = []

    def is_crashing(call):
        runs.append(call)
        if len(runs) % 3 == 2:
            call.head.headers.append((b"never", b"answered"))
        return len(runs) % 3 != 2

    for backend in scene.backends:
        backend.is_crashing = is_crashing
        backend.never_answers = lambda call: (
            (b"never", b"answered") in (call.head.headers)
        )
    scene.call(3.3)
    scene.run(20)
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS


@pytest.mark.parametrize("seed_s", [0.0, 0.013])
def test_deaths_of_all_servers_at_once_count_together(seed_s):
    scene = crash_scene.Scene(has_control=True)
    scene.run(1)
    scene.mesh.network.run(seed_s)
    for index in scene.entries:
        scene.ask(crashing_backend.CRASH_PATH, index, wait=0.0)
    scene.call(3.3)
    scene.run(20)
    assert len(scene.crashes.deaths_s) <= crash_scene.SERVERS + 3
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS


@pytest.mark.parametrize("down_s", [1.5, 2.2, 4.5])
def test_trial_that_crashes_after_its_caller_has_gone_counts(down_s):
    """The route's timeout is 1 s."""
    scene = crash_scene.Scene(
        has_control=True, crash_after_s=1.05, down_s=down_s
    )
    for backend in scene.backends:
        backend.is_crashing = lambda call: call.head.method == b"POST"
    scene.run(2)
    scene.call(1.4, WRITE, method="POST")
    scene.run(40)
    assert len(scene.crashes.deaths_s) >= 3
    assert scene.crashes.count_late_runs(WRITE) <= MAXIMUM_LATE_RUNS


def test_count_holds_when_siblings_are_not_reached():
    scene = crash_scene.Scene(has_control=True)
    for index in scene.servers:
        scene.cut_siblings(index)
    scene.call(3.3)
    scene.run(20)
    assert len(scene.crashes.deaths_s) >= 2
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS


def test_count_holds_when_control_is_not_reached_by_those_that_counted():
    scene = crash_scene.Scene(has_control=True)
    for index in scene.servers:
        scene.control.links[index].is_cut = True
    scene.call(3.3)
    scene.run(20)
    assert len(scene.crashes.deaths_s) >= 2
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS


def test_sibling_reports_what_a_node_that_is_cut_off_cannot():
    scene = crash_scene.Scene(has_control=True)
    scene.run(1)
    for index in scene.servers[:-1]:
        scene.control.links[index].is_cut = True
    scene.backends[-1].is_crashing = lambda call: False
    scene.call(3.3)
    scene.run(6)
    deaths = len(scene.crashes.deaths_s)
    assert deaths >= 2
    names = dict(scene.control.control.suspects.read(0))
    assert deaths in {len(event_ids) for event_ids in names.values()}


@pytest.mark.parametrize("interval_s", [1, 2])
def test_count_holds_while_all_nodes_restart_in_series(interval_s):
    scene = crash_scene.Scene(has_control=True)
    scene.call(3.3)
    for index in [*scene.servers, *scene.entries]:
        scene.run(interval_s)
        scene.control.restart(index)
    scene.run(6)
    assert len(scene.crashes.deaths_s) >= 2
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS


def test_node_that_has_started_runs_nothing_before_it_knows_the_suspects():
    scene = crash_scene.Scene(has_control=True)
    scene.call(3.3)
    scene.run(4)
    index = scene.servers[0]
    scene.control.links[index].is_cut = True
    scene.control.restart(index)
    before = len(scene.crashes.runs)
    member = scene.mesh.members[index]
    assert member.gateway._parts.quarantine.record_count == 0
    scene.run(2)
    ids = {run.backend_id for run in scene.crashes.runs[before:]}
    assert member.backend_id not in ids
    scene.control.links[index].is_cut = False
    scene.run(2)
    assert member.gateway._parts.quarantine.record_count > 0
    assert scene.ask("/read/x", 0).statuses == [200]


def test_request_that_waits_is_not_sent_once_it_is_refused():
    scene = crash_scene.Scene()
    scene.run(1)
    index = scene.servers[0]
    for backend in scene.backends[1:]:
        backend.end()
    for other in scene.mesh.members[index + 1 :]:
        other.gateway.leave(other.backend_id)
    scene.mesh.publish_endpoints()
    quarantine = scene.mesh.members[index].gateway._parts.quarantine
    scene.backends[0].work_s = 0.3
    paths = ["/read/slow", crashing_backend.CRASH_PATH]
    reports = {path: find_reports(path) for path in paths}
    for path in paths:
        quarantine.merge_from_sibling(reports[path][:1])
    slow = scene.ask(paths[0], index, wait=0.1)
    waiting = scene.ask(paths[1], index, wait=0.1)
    assert [run.target for run in scene.crashes.runs] == paths[:1]
    quarantine.merge_from_sibling(reports[paths[1]])
    scene.mesh.network.run(1.0)
    assert slow.statuses == [200]
    assert waiting.statuses == [503]
    assert [run.target for run in scene.crashes.runs] == paths[:1]


def find_reports(path):
    """Returns reports of three deaths under a GET for a path."""
    made = fingerprint.make(
        "", "", "GET", mesh_module.HOST + path, body=b"", body_bytes=0
    )
    return [
        suspect_report.SuspectReport(
            made.digest_key, report_kind.ReportKind.DEATH, f"e{number}"
        )
        for number in range(3)
    ]


def test_caller_of_a_refused_request_gets_a_true_answer():
    scene = crash_scene.Scene()
    scene.call(3.3)
    scene.run(4)
    runs = len(scene.crashes.runs)
    client = scene.ask(crashing_backend.CRASH_PATH)
    assert client.statuses == [503]
    assert b"quarantined" in client.received
    head = client.received.partition(b"\r\n\r\n")[0].lower()
    assert float(head.partition(b"retry-after: ")[2].split()[0]) > 0
    assert len(scene.crashes.runs) == runs


def test_caller_whose_attempt_has_run_is_not_told_that_it_has_not():
    scene = crash_scene.Scene()
    client = scene.ask(crashing_backend.CRASH_PATH, wait=1.0)
    assert len(scene.crashes.runs) == 2
    assert client.statuses == [502]


def test_digests_are_all_that_logs_tell_of_a_request():
    with structlog.testing.capture_logs() as lines:
        scene = crash_scene.Scene(has_control=True)
        scene.call(3.3)
        scene.run(4)
    events = {line["event"] for line in lines}
    assert event.Event.BACKEND_SERVER_DIED in events
    assert event.Event.SUSPECTS_SHARED in events
    assert event.Event.SUSPECTS_LEARNED in events
    assert "secret" not in str(lines)
    assert "crash?" not in str(lines)


def test_trial_that_ends_behind_a_proxy_is_fatal():
    scene = crash_scene.Scene(has_control=True, down_s=0.0)
    scene.call(3.3)
    scene.run(20)
    assert len(scene.crashes.deaths_s) <= 4
    assert scene.crashes.count_late_runs() <= 1


def test_suspect_whose_answer_is_lost_is_not_sent_to_another_server():
    # The server is back at once, so that a probe does not show its death.
    scene = crash_scene.Scene(down_s=0.0)
    for backend in scene.backends:
        backend.announce_delay_s = 0.8
    scene.run(1)
    reports = find_reports(crashing_backend.CRASH_PATH)[:1]
    for member in scene.mesh.members:
        member.gateway._parts.quarantine.merge_from_sibling(reports)
    client = scene.ask(crashing_backend.CRASH_PATH, wait=1.0)
    assert len(scene.crashes.runs) == 1
    assert client.statuses == [502]
