"""Steps that the tests of the control instances share."""

import time

from tests.control import calls
from tests.control import cluster as cluster_module
from tests.decisions.claims import schedules

wait_until = cluster_module.wait_until


def wait_for_voters(cluster):
    def are_whole():
        leader = cluster.leader()
        if leader is None:
            return False
        log = (leader.status() or {"log": {}})["log"]
        members = log.get("members", [])
        return len(members) == 3 and all(one["voter"] for one in members)

    wait_until(are_whole)
    wait_until(lambda: all(vouches(one) for one in cluster.instances))


def wait_for_voter(cluster, instance):
    """Waits until an instance votes as who it is since its last start."""

    def is_voter():
        status, leader = instance.status(), cluster.leader()
        if status is None or leader is None:
            return False
        own_id = status["log"]["replica_id"]
        log = (leader.status() or {"log": {}})["log"]
        return own_id in [
            one["replica_id"] for one in log.get("members", []) if one["voter"]
        ]

    wait_until(is_voter)


def vouches(instance):
    status = instance.status()
    return status is not None and status["vouched_ms"] > 0


def document(number):
    return f"# {number}\n{cluster_module.DOCUMENT}"


def now_version(cluster):
    return cluster.wait_for_leader().status()["configuration_version"]


def change_until_answered(instances, change_id, base, text, author="ops"):
    """Sends one change to one instance after the other until it is answered."""
    end = time.monotonic() + 10.0
    turn = 0
    while True:
        instance = instances[turn % len(instances)]
        answer = instance.change(change_id, base, text, author, timeout_s=2.5)
        if answer is not None and answer.status in (200, 409):
            return answer
        assert answer is None or answer.status == 503, answer.body
        assert time.monotonic() < end
        turn += 1
        time.sleep(0.02)


def fetch_history(instance, limit):
    answer = instance.request("GET", f"/v1/history?limit={limit}")
    if answer is None or answer.status != 200:
        return None
    return list(reversed(answer.body["changes"]))


def check_histories(cluster, accepted, first_base):
    """Every instance holds just the accepted changes, in their order."""
    for one in cluster.instances:
        kept = wait_until(
            lambda one=one: history_up_to(one, first_base + len(accepted))
        )
        kept = [change for change in kept if change["version"] > first_base]
        assert [change["change_id"] for change in kept] == accepted
        versions = [change["version"] for change in kept]
        count = len(accepted)
        assert versions == list(range(first_base + 1, first_base + count + 1))


def history_up_to(instance, version):
    kept = fetch_history(instance, 1000)
    return kept if kept and kept[-1]["version"] >= version else None


def new_request_id(tail):
    return schedules.uuid7(int(time.time() * 1000), tail)


def is_directory_complete(instance):
    beat = calls.make_heartbeat("watch")
    return calls.call(instance.port, "heartbeat", beat).whole_directory
