"""Changes on three control instances as real processes.

Each test says what must hold while instances are killed, lost and raced.
"""

import contextlib
import shutil
import threading

from tests.control import calls
from tests.control import checks
from tests.control import cluster as cluster_module

wait_until = cluster_module.wait_until


def test_kill_9_of_the_leader_in_a_stream_of_changes(cluster):
    """Accepted changes stay, in order, on all; resends make no second one."""
    base = checks.now_version(cluster)
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
            cluster.instances, change_id, base + number, checks.document(number)
        )
        assert answer.status == 200, answer.body
        assert answer.body["record"]["version"] == base + number + 1
        accepted.append(change_id)
    killed.start()
    checks.wait_for_voters(cluster)
    checks.check_histories(cluster, accepted, base)


def test_kill_9_of_each_instance_in_turn(cluster):
    base = checks.now_version(cluster)
    accepted = []
    for turn, victim in enumerate(cluster.instances):
        victim.kill()
        others = [one for one in cluster.instances if one is not victim]
        for number in range(5):
            change_id = f"turn-{turn}-{number}"
            answer = checks.change_until_answered(
                others,
                change_id,
                base + len(accepted),
                checks.document(change_id),
            )
            assert answer.status == 200
            accepted.append(change_id)
        victim.start()
        checks.wait_for_voters(cluster)
    checks.check_histories(cluster, accepted, base)


def send_and_hang_up(instance, change_id, base, text, author):
    """Sends a change and closes the connection before the answer."""
    with contextlib.suppress(OSError):
        answer = instance.change(change_id, base, text, author, timeout_s=0.001)
        assert answer is None or answer.status != 500


def test_two_operators_race_200_changes_under_equal_numbers(cluster):
    """Of two under one number one is accepted; dropped answers are resent."""
    base = checks.now_version(cluster)
    rounds = 100
    barrier = threading.Barrier(2)
    outcomes = {"ann": [], "bob": []}

    def race(author, instances):
        for number in range(rounds):
            change_id = f"race-{author}-{number}"
            text = checks.document(change_id)
            barrier.wait(5)
            if number % 3 == 0:
                send_and_hang_up(
                    instances[0], change_id, base + number, text, author
                )
            answer = checks.change_until_answered(
                instances, change_id, base + number, text, author
            )
            again = checks.change_until_answered(
                instances[::-1], change_id, base + number, text, author
            )
            assert again.body == answer.body
            outcomes[author].append((change_id, answer))
            barrier.wait(5)

    first, second, third = cluster.instances
    threads = [
        threading.Thread(target=race, args=("ann", [first, third])),
        threading.Thread(target=race, args=("bob", [second, third])),
    ]
    for one in threads:
        one.start()
    for one in threads:
        one.join()
    accepted = []
    pairs = zip(outcomes["ann"], outcomes["bob"], strict=True)
    for (_, one), (_, other) in pairs:
        won, lost = sorted((one, other), key=lambda answer: answer.status)
        assert (won.status, lost.status) == (200, 409)
        assert lost.body["record"] == won.body["record"]
        accepted.append(won.body["record"]["change_id"])
    assert len(accepted) == rounds
    checks.check_histories(cluster, accepted, base)


def test_an_instance_and_a_node_back_after_300_changes(cluster):
    """Neither vouches for, nor is told, a version older than the quorum's."""
    base = checks.now_version(cluster)
    stopped = next(
        one for one in cluster.instances if one is not cluster.leader()
    )
    stopped.kill()
    others = [one for one in cluster.instances if one is not stopped]
    leader = cluster.wait_for_leader(others)
    for number in range(300):
        answer = leader.change(
            f"far-{number}", base + number, checks.document(number)
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
            assert answer.configuration == checks.document(299)
        return answer.vouched_ms

    wait_until(ask)


def lose_disk(cluster, victim, change_id):
    """Removes a data folder, changes meanwhile, waits until it is repaired."""
    base = checks.now_version(cluster)
    before = victim.status()["log"]["replica_id"]
    victim.kill()
    shutil.rmtree(victim.data_folder)
    others = [one for one in cluster.instances if one is not victim]
    text = checks.document(change_id)
    answer = checks.change_until_answered(others, change_id, base, text)
    assert answer.status == 200
    victim.start()
    checks.wait_for_voter(cluster, victim)
    checks.wait_for_voters(cluster)
    assert victim.status()["log"]["replica_id"] != before
    members = cluster.wait_for_leader().status()["log"]["members"]
    assert before not in [one["replica_id"] for one in members]


def test_a_removed_data_folder_and_a_second_right_after_the_repair(cluster):
    """They come back under new identities; nothing accepted is lost."""
    base = checks.now_version(cluster)
    leader = cluster.wait_for_leader()
    follower = next(one for one in cluster.instances if one is not leader)
    lose_disk(cluster, follower, "first-lost")
    lose_disk(cluster, cluster.wait_for_leader(), "second-lost")
    checks.check_histories(cluster, ["first-lost", "second-lost"], base)


def check_two_lost_disks(cluster):
    assert cluster.wait_for_leader().change("kept", 0).status == 200
    lost, left = cluster.instances[:2], cluster.instances[2]
    for one in lost:
        one.kill()
        shutil.rmtree(one.data_folder)
    for one in lost:
        one.start()
    wait_until(lambda: all(one.status() for one in cluster.instances))
    wait_until(lambda: not left.status()["log"]["quorum_heard"])
    for one in cluster.instances:
        assert one.change("new", 1).status == 503
        assert one.request("GET", "/v1/configuration").status == 503
        assert not one.status()["vouched_ms"]
    wait_until(lambda: len(left.status()["log"]["silent_voters"]) == 2)
    founded = [
        event
        for one in cluster.instances
        for event in one.events()
        if event["event"] == "cluster-founded"
    ]
    assert len(founded) == 1


def test_two_lost_disks_at_once_accept_nothing_and_say_so(tmp_path):
    """A majority of disks is gone: no second cluster begins beside the rest."""
    with cluster_module.Cluster(tmp_path) as cluster:
        checks.wait_for_voters(cluster)
        check_two_lost_disks(cluster)
