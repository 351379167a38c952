"""Waits, requests and checks on a cluster of control instances."""

import time

from tests.control import calls
from tests.control import cluster as cluster_module
from tests.decisions.claims import schedules

wait_until = cluster_module.wait_until


def wait_for_voters(cluster):
    """Waits until all three instances are voters and vouch."""

    def are_all_voters():
        leader = cluster.leader()
        if leader is None:
            return False
        log = (leader.status() or {"log": {}})["log"]
        members = log.get("members", [])
        return len(members) == 3 and all(member["voter"] for member in members)

    wait_until(are_all_voters)
    wait_until(
        lambda: all(is_vouching(instance) for instance in cluster.instances)
    )


def wait_for_voter(cluster, instance):
    """Waits until an instance is a voter under its current replica id."""

    def is_voter():
        status, leader = instance.status(), cluster.leader()
        if status is None or leader is None:
            return False
        own_id = status["log"]["replica_id"]
        log = (leader.status() or {"log": {}})["log"]
        return own_id in [
            member["replica_id"]
            for member in log.get("members", [])
            if member["voter"]
        ]

    wait_until(is_voter)


def is_vouching(instance):
    """True if an instance answers and vouches for its state."""
    status = instance.status()
    return status is not None and status["vouched_ms"] > 0


def make_document(number):
    """Returns a valid document that differs from those of other numbers."""
    return f"# {number}\n{cluster_module.DOCUMENT}"


def get_version(cluster):
    """Returns the configuration version of the leader."""
    return cluster.wait_for_leader().status()["configuration_version"]


def change_until_answered(instances, change_id, base, text, author="ops"):
    """Sends a change to the instances in turn until it gets a verdict."""
    end = time.monotonic() + 10.0
    attempt = 0
    while True:
        instance = instances[attempt % len(instances)]
        answer = instance.change(change_id, base, text, author, timeout_s=2.5)
        if answer is not None and answer.status in (200, 409):
            return answer
        assert answer is None or answer.status == 503, answer.body
        assert time.monotonic() < end
        attempt += 1
        time.sleep(0.02)


def fetch_history(instance, limit):
    """Returns the last accepted changes, oldest first; None if refused."""
    answer = instance.request("GET", f"/v1/history?limit={limit}")
    if answer is None or answer.status != 200:
        return None
    return list(reversed(answer.body["changes"]))


def check_histories(cluster, accepted, first_base):
    """Checks that each instance holds just the accepted changes, in order.

    Args:
        cluster: The cluster.
        accepted: Ids of all changes accepted since `first_base`.
        first_base: Version before the first of them.
    """
    for instance in cluster.instances:
        kept = wait_until(
            lambda instance=instance: fetch_history_up_to(
                instance, first_base + len(accepted)
            )
        )
        kept = [change for change in kept if change["version"] > first_base]
        assert [change["change_id"] for change in kept] == accepted
        versions = [change["version"] for change in kept]
        count = len(accepted)
        assert versions == list(range(first_base + 1, first_base + count + 1))


def fetch_history_up_to(instance, version):
    """Returns the history, or None if it does not reach a version yet."""
    kept = fetch_history(instance, 1000)
    return kept if kept and kept[-1]["version"] >= version else None


def make_request_id(tail):
    """Returns a UUIDv7 of the present time; equal tails may repeat it."""
    return schedules.uuid7(int(time.time() * 1000), tail)


def is_directory_complete(instance):
    beat = calls.make_heartbeat("watch")
    return calls.call(instance.port, "heartbeat", beat).whole_directory
