"""Configuration changes while control instances crash or lose their disks.

Guards against accepted changes that are lost, reordered or applied twice. That
comes about when a leader dies between a commit and its answer, when a change
is resent, or when an instance returns with an old or an empty data folder.
"""

import contextlib
import shutil
import threading

from tests.control import calls
from tests.control import checks
from tests.control import cluster as cluster_module

wait_until = cluster_module.wait_until


def test_changes_are_kept_in_order_and_once_when_the_leader_is_killed(cluster):
    """Changes are sent in order, each until it is answered."""
    base = checks.get_version(cluster)
    accepted = []
    killed = None
    for number in range(60):
        if number in (20, 40):
            killed = cluster.wait_for_leader()
            killed.kill()
        if number == 30:
            killed.start()
        change_id = f"stream-{number}"
        answer = checks.change_until_answered(
            cluster.instances,
            change_id,
            base + number,
            checks.make_document(number),
        )
        assert answer.status == 200, answer.body
        assert answer.body["record"]["version"] == base + number + 1
        accepted.append(change_id)
    killed.start()
    checks.wait_for_voters(cluster)
    checks.check_histories(cluster, accepted, base)


def test_changes_are_kept_when_each_instance_is_killed_in_turn(cluster):
    base = checks.get_version(cluster)
    accepted = []
    for index, victim in enumerate(cluster.instances):
        victim.kill()
        others = [other for other in cluster.instances if other is not victim]
        for number in range(5):
            change_id = f"turn-{index}-{number}"
            answer = checks.change_until_answered(
                others,
                change_id,
                base + len(accepted),
                checks.make_document(change_id),
            )
            assert answer.status == 200
            accepted.append(change_id)
        victim.start()
        checks.wait_for_voters(cluster)
    checks.check_histories(cluster, accepted, base)


def send_and_hang_up(instance, change_id, base, text, author):
    """Sends a change and closes the connection after 1 ms."""
    with contextlib.suppress(OSError):
        answer = instance.change(change_id, base, text, author, timeout_s=0.001)
        assert answer is None or answer.status != 500


def test_one_of_two_changes_to_the_same_version_is_accepted(cluster):
    """Both send a change to the same version; some answers are dropped."""
    base = checks.get_version(cluster)
    rounds = 100
    barrier = threading.Barrier(2)
    outcomes = {"ann": [], "bob": []}

    def race(author, instances):
        for number in range(rounds):
            change_id = f"race-{author}-{number}"
            text = checks.make_document(change_id)
            barrier.wait(5)
            if number % 3 == 0:
                send_and_hang_up(
                    instances[0], change_id, base + number, text, author
                )
            answer = checks.change_until_answered(
                instances, change_id, base + number, text, author
            )
            resent = checks.change_until_answered(
                instances[::-1], change_id, base + number, text, author
            )
            assert resent.body == answer.body
            outcomes[author].append((change_id, answer))
            barrier.wait(5)

    first, second, third = cluster.instances
    threads = [
        threading.Thread(target=race, args=("ann", [first, third])),
        threading.Thread(target=race, args=("bob", [second, third])),
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted = []
    pairs = zip(outcomes["ann"], outcomes["bob"], strict=True)
    for (_, first_answer), (_, second_answer) in pairs:
        won, lost = sorted(
            (first_answer, second_answer), key=lambda answer: answer.status
        )
        assert (won.status, lost.status) == (200, 409)
        assert lost.body["record"] == won.body["record"]
        accepted.append(won.body["record"]["change_id"])
    assert len(accepted) == rounds
    checks.check_histories(cluster, accepted, base)


def test_instance_behind_by_300_changes_vouches_only_for_the_newest(cluster):
    """A heartbeat that it vouches for never holds an older version."""
    base = checks.get_version(cluster)
    stopped = next(
        instance
        for instance in cluster.instances
        if instance is not cluster.leader()
    )
    stopped.kill()
    others = [other for other in cluster.instances if other is not stopped]
    leader = cluster.wait_for_leader(others)
    for number in range(300):
        answer = leader.change(
            f"far-{number}", base + number, checks.make_document(number)
        )
        assert answer.status == 200
    stopped.start()
    beat = calls.make_heartbeat("late", version=base)

    def ask():
        answer = calls.try_call(stopped.port, "heartbeat", beat)
        if answer is None:
            return None
        if answer.vouched_ms:
            assert answer.configuration_version == base + 300
            assert answer.configuration == checks.make_document(299)
        return answer.vouched_ms

    wait_until(ask)


def lose_data_folder(cluster, victim, change_id):
    """Removes an instance's data folder and waits until it is a voter again.

    A change is accepted while the instance is down.
    """
    base = checks.get_version(cluster)
    old_id = victim.status()["log"]["replica_id"]
    victim.kill()
    shutil.rmtree(victim.data_folder)
    others = [other for other in cluster.instances if other is not victim]
    text = checks.make_document(change_id)
    answer = checks.change_until_answered(others, change_id, base, text)
    assert answer.status == 200
    victim.start()
    checks.wait_for_voter(cluster, victim)
    checks.wait_for_voters(cluster)
    assert victim.status()["log"]["replica_id"] != old_id
    members = cluster.wait_for_leader().status()["log"]["members"]
    assert old_id not in [member["replica_id"] for member in members]


def test_instances_that_lose_their_folder_rejoin_with_new_replica_ids(cluster):
    """The leader loses its folder right after the follower is repaired."""
    base = checks.get_version(cluster)
    leader = cluster.wait_for_leader()
    follower = next(
        instance for instance in cluster.instances if instance is not leader
    )
    lose_data_folder(cluster, follower, "first-lost")
    lose_data_folder(cluster, cluster.wait_for_leader(), "second-lost")
    checks.check_histories(cluster, ["first-lost", "second-lost"], base)


def check_two_lost_data_folders(cluster):
    """Checks that one instance left of three neither commits nor vouches."""
    assert cluster.wait_for_leader().change("kept", 0).status == 200
    lost, left = cluster.instances[:2], cluster.instances[2]
    for instance in lost:
        instance.kill()
        shutil.rmtree(instance.data_folder)
    for instance in lost:
        instance.start()
    wait_until(lambda: all(each.status() for each in cluster.instances))
    wait_until(lambda: not left.status()["log"]["quorum_heard"])
    for instance in cluster.instances:
        assert instance.change("new", 1).status == 503
        assert instance.request("GET", "/v1/configuration").status == 503
        assert not instance.status()["vouched_ms"]
    wait_until(lambda: len(left.status()["log"]["silent_voters"]) == 2)
    founded = [
        event
        for instance in cluster.instances
        for event in instance.events()
        if event["event"] == "cluster-founded"
    ]
    assert len(founded) == 1


def test_two_lost_folders_stop_changes_and_found_no_second_cluster(tmp_path):
    """The two emptied instances must not found a cluster beside the third."""
    with cluster_module.Cluster(tmp_path) as cluster:
        checks.wait_for_voters(cluster)
        check_two_lost_data_folders(cluster)
