"""Requests that are in flight when a backend server ends for another cause.

Guards against a quarantine that refuses what crashes nothing (issue 23).
"""

import pytest

from cranberrymux.decisions.presence import announcement
from tests.gateway import crash_scene

PATH = "/read/harmless"


def kill_under(scene, path, count):
    """Ends servers one after another, each with the request in flight."""
    for _ in range(count):
        scene.run(2)
        before = len(scene.crashes.runs)
        scene.ask(path, wait=0.01)
        run = scene.crashes.runs[before]
        for backend in scene.backends:
            if backend.backend_id == run.backend_id:
                backend.end()
        scene.mesh.network.run(0.5, step_s=crash_scene.STEP_S)


def count_records(scene):
    return sum(
        member.gateway._parts.quarantine.record_count
        for member in scene.mesh.members
    )


# Killed under its first trial, too, it looks as if it had crashed them all, and
# has to wait for its second one.
@pytest.mark.parametrize(("deaths", "wait_s"), [(1, 0), (3, 3), (5, 9)])
def test_request_that_was_in_flight_at_deaths_is_served(deaths, wait_s):
    scene = crash_scene.Scene(has_control=True)
    kill_under(scene, PATH, deaths)
    scene.run(wait_s)
    assert scene.ask(PATH, 1, wait=1.0).statuses == [200]
    assert scene.ask(PATH, 5).statuses == [200]


def check_is_served_in_the_end(scene, caller):
    """Stops a caller, all of whose last requests must have been served."""
    caller.stop()
    scene.run(1)
    end_s = scene.mesh.network.seconds()
    served, sent = caller.count_served_since(end_s - 3)
    assert served == sent > 20


def test_trial_that_failed_is_followed_by_another():
    scene = crash_scene.Scene(has_control=True)
    kill_under(scene, PATH, 4)
    for backend in scene.backends:
        backend.is_failing = True
    scene.run(3)
    popular = scene.call(20, PATH)
    scene.run(12)
    for backend in scene.backends:
        backend.is_failing = False
    scene.run(12)
    check_is_served_in_the_end(scene, popular)


def test_trial_that_timed_out_is_followed_by_another():
    scene = crash_scene.Scene(has_control=True)
    kill_under(scene, PATH, 4)
    for backend in scene.backends:
        backend.never_answers = lambda call: True
    scene.run(3)
    popular = scene.call(20, PATH)
    scene.run(6)
    for backend in scene.backends:
        backend.never_answers = lambda call: False
    scene.run(10)
    check_is_served_in_the_end(scene, popular)


def test_popular_request_is_served_after_all_servers_ended_at_once():
    scene = crash_scene.Scene(has_control=True)
    popular = scene.call(100, PATH)
    scene.run(2)
    for backend in scene.backends:
        backend.end()
    scene.run(8)
    popular.stop()
    scene.run(1)
    served, sent = popular.count_served_since(5.0)
    assert served == sent > 400


def test_requests_in_flight_at_a_crash_are_served():
    scene = crash_scene.Scene(has_control=True)
    clients = []
    scene.run(1)
    for number in range(40):
        clients.append(scene.ask(f"/read/{number}", number % 8, wait=0.0))
        if number == 20:
            scene.call(3.3)
    scene.run(4)
    assert [client.statuses for client in clients] == [[200]] * 40


def test_broken_connections_are_no_deaths():
    scene = crash_scene.Scene()
    member = scene.mesh.members[scene.servers[0]]
    for number in range(5):
        scene.ask(f"/read/{number}", scene.servers[0], wait=0.005)
        for transport in list(scene.mesh.network.transports):
            if transport.port == member.backend_port and transport.connected:
                transport.abortConnection()
        scene.run(1)
    assert count_records(scene) == 0


def test_planned_end_is_no_death():
    scene = crash_scene.Scene()
    for index, backend in zip(scene.servers, scene.backends, strict=True):
        backend.work_s = 0.4
        scene.ask(f"/read/{index}", index, wait=0.01)
    for index, backend in zip(scene.servers, scene.backends, strict=True):
        member = scene.mesh.members[index]
        member.announce(announcement.BackendState.DRAINING)
        backend.end()
    scene.run(4)
    assert count_records(scene) == 0


def test_server_that_is_back_before_it_is_probed_has_died():
    scene = crash_scene.Scene(down_s=0.0)
    scene.call(3.3)
    scene.run(6)
    assert 2 <= len(scene.crashes.deaths_s) <= 3


def test_server_that_is_back_under_its_own_id_has_died():
    scene = crash_scene.Scene()
    for backend in scene.backends:
        backend.keeps_id = True
    scene.call(3.3)
    scene.run(10)
    assert 2 <= len(scene.crashes.deaths_s) <= 3


def test_request_that_its_caller_gave_up_counts_if_it_still_crashes():
    scene = crash_scene.Scene(crash_after_s=0.3)
    for number in range(30):
        client = scene.ask("/read/crash?token=secret", number % 8, wait=0.1)
        client.transport.abortConnection()
        scene.mesh.network.run(1.0, step_s=crash_scene.STEP_S)
        for member in scene.mesh.members:
            member.announce_if_up()
    assert 2 <= len(scene.crashes.deaths_s) <= 3


def test_trials_whose_grants_were_lost_refuse_nothing_for_good():
    scene = crash_scene.Scene(has_control=True)
    for backend in scene.backends:
        backend.is_failing = True
    kill_under(scene, PATH, 2)
    for backend in scene.backends:
        backend.is_failing = False
    for link in scene.control.links:
        link.loses_answers = True
    popular = scene.call(20, PATH)
    scene.run(25)
    for link in scene.control.links:
        link.loses_answers = False
    scene.run(9)
    check_is_served_in_the_end(scene, popular)
