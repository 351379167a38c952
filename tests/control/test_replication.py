"""Three control instances as real processes, under what the brief says fails.

Each test: what is done, which invariant is checked.
"""

import contextlib
import shutil
import signal
import socket
import threading
import time

import pytest

from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls
from tests.control import cluster as cluster_module
from tests.decisions.claims import schedules

Verdict = ttypes.ClaimVerdict
wait_until = cluster_module.wait_until


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    made = cluster_module.Cluster(tmp_path_factory.mktemp("cluster"))
    with made:
        wait_for_voters(made)
        yield made


@pytest.fixture(autouse=True)
def all_run(cluster):
    yield
    for one in cluster.instances:
        if one.process.poll() is not None:
            one.start()
        one.send_signal(signal.SIGCONT)
    wait_for_voters(cluster)


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


def test_kill_9_of_the_leader_in_a_stream_of_changes(cluster):
    """Accepted changes stay, in order, on all; resends make no second one."""
    base = now_version(cluster)
    accepted = []
    killed = None
    for number in range(60):
        if number in (20, 40):
            killed = cluster.wait_for_leader()
            killed.kill()
        if number == 30:
            killed.start()
        change_id = f"stream-{number}"
        answer = change_until_answered(
            cluster.instances, change_id, base + number, document(number)
        )
        assert answer.status == 200, answer.body
        assert answer.body["record"]["version"] == base + number + 1
        accepted.append(change_id)
    killed.start()
    wait_for_voters(cluster)
    check_histories(cluster, accepted, base)


def test_kill_9_of_each_instance_in_turn(cluster):
    base = now_version(cluster)
    accepted = []
    for turn, victim in enumerate(cluster.instances):
        victim.kill()
        others = [one for one in cluster.instances if one is not victim]
        for number in range(5):
            change_id = f"turn-{turn}-{number}"
            answer = change_until_answered(
                others, change_id, base + len(accepted), document(change_id)
            )
            assert answer.status == 200
            accepted.append(change_id)
        victim.start()
        wait_for_voters(cluster)
    check_histories(cluster, accepted, base)


def test_a_leader_frozen_past_its_lease_and_thawed(cluster):
    """Once thawed it never answers by an older version and accepts nothing."""
    frozen = cluster.wait_for_leader()
    others = [one for one in cluster.instances if one is not frozen]
    base = now_version(cluster)
    frozen.send_signal(signal.SIGSTOP)
    answers = []
    waiting = threading.Thread(
        target=lambda: answers.append(
            frozen.change("to-frozen", base, document("x"), timeout_s=8.0)
        )
    )
    waiting.start()
    cluster.wait_for_leader(others)
    made = change_until_answered(others, "after", base, document("after"))
    assert made.status == 200
    frozen.send_signal(signal.SIGCONT)
    end = time.monotonic() + 1.5
    while time.monotonic() < end:
        found = frozen.request("GET", "/v1/configuration", timeout_s=1.0)
        if found is not None and found.status == 200:
            assert found.body["version"] > base
    waiting.join()
    assert answers[0] is None or answers[0].status in (409, 503)
    check_histories(cluster, ["after"], base)


def test_an_instance_cut_off_stops_vouching_and_accepts_nothing(cluster):
    """Its lease ends; a change is refused with a time, and never accepted."""
    leader = cluster.wait_for_leader()
    others = [one for one in cluster.instances if one is not leader]
    base = now_version(cluster)
    started = time.monotonic()
    for one in others:
        one.send_signal(signal.SIGSTOP)
    wait_until(lambda: not vouches(leader))
    assert time.monotonic() - started < 2.0
    refused = leader.change("cut-off", base, document("cut"))
    assert refused.status == 503
    assert refused.body["rejected"] is True
    assert int(refused.headers["Retry-After"]) >= 1
    assert leader.request("GET", "/v1/configuration").status == 503
    claimed = calls.call(
        leader.port,
        "claim",
        calls.make_claim(schedules.uuid7(int(time.time() * 1000), 77)),
    )
    assert claimed.verdict == Verdict.UNAVAILABLE
    assert claimed.retry_after_ms > 0
    beat = calls.call(leader.port, "heartbeat", calls.make_heartbeat("cut"))
    assert beat.vouched_ms == 0
    for one in others:
        one.send_signal(signal.SIGCONT)
    wait_for_voters(cluster)
    answer = change_until_answered(
        cluster.instances, "after-cut", base, document("after-cut")
    )
    assert answer.status == 200
    check_histories(cluster, ["after-cut"], base)


def send_and_hang_up(instance, change_id, base, text, author):
    """Sends a change and closes the connection before the answer."""
    with contextlib.suppress(OSError):
        answer = instance.change(change_id, base, text, author, timeout_s=0.001)
        assert answer is None or answer.status != 500


def test_two_operators_race_200_changes_under_equal_numbers(cluster):
    """Of two under one number one is accepted; dropped answers are resent."""
    base = now_version(cluster)
    rounds = 100
    barrier = threading.Barrier(2)
    outcomes = {"ann": [], "bob": []}

    def race(author, instances):
        for number in range(rounds):
            change_id = f"race-{author}-{number}"
            text = document(change_id)
            barrier.wait(5)
            if number % 3 == 0:
                send_and_hang_up(
                    instances[0], change_id, base + number, text, author
                )
            answer = change_until_answered(
                instances, change_id, base + number, text, author
            )
            again = change_until_answered(
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
    check_histories(cluster, accepted, base)


def test_an_instance_and_a_node_back_after_300_changes(cluster):
    """Neither vouches for, nor is told, a version older than the quorum's."""
    base = now_version(cluster)
    stopped = next(
        one for one in cluster.instances if one is not cluster.leader()
    )
    stopped.kill()
    others = [one for one in cluster.instances if one is not stopped]
    leader = cluster.wait_for_leader(others)
    for number in range(300):
        answer = leader.change(f"far-{number}", base + number, document(number))
        assert answer.status == 200
    stopped.start()
    beat = calls.make_heartbeat("late", version=base)

    def ask():
        answer = calls.try_call(stopped.port, "heartbeat", beat)
        if answer is None:
            return None
        if answer.vouched_ms:
            assert answer.configuration_version == base + 300
            assert answer.configuration == document(299)
        return answer.vouched_ms

    wait_until(ask)


def new_request_id(tail):
    return schedules.uuid7(int(time.time() * 1000), tail)


def test_the_same_claim_at_two_nodes_at_once(cluster):
    """One owner is granted; the others join it and get its answer."""
    for number in range(20):
        request_id = new_request_id(number)
        answers = {}

        def claim(node, port, request_id=request_id, answers=answers):
            answers[node] = calls.call(
                port, "claim", calls.make_claim(request_id, node, node)
            )

        threads = [
            threading.Thread(target=claim, args=(f"n{place}", one.port))
            for place, one in enumerate(cluster.instances)
        ]
        for one in threads:
            one.start()
        for one in threads:
            one.join()
        granted = [
            node
            for node, answer in answers.items()
            if answer.verdict == Verdict.GRANTED
        ]
        assert len(granted) == 1
        others = [node for node in answers if node != granted[0]]
        for node in others:
            assert answers[node].verdict == Verdict.RUNNING
            assert answers[node].owner == granted[0]
    port = cluster.instances[0].port
    owner = granted[0]
    calls.call(port, "settle", calls.make_settle(request_id, owner, owner))
    joined = calls.call(
        port, "claim", calls.make_claim(request_id, others[0], "later")
    )
    assert (joined.verdict, joined.status, joined.body) == (
        Verdict.SETTLED,
        201,
        b"ok",
    )
    mismatch = calls.make_claim(request_id, owner, "x", body_digest="other")
    answer = calls.call(port, "claim", mismatch)
    assert answer.verdict == Verdict.DIGEST_MISMATCH


def test_claims_across_a_kill_9_of_the_leader(cluster):
    """A grant whose answer was lost is given again, to its claim only."""
    leader = cluster.wait_for_leader()
    others = [one for one in cluster.instances if one is not leader]
    request_id = new_request_id(500)
    mine = calls.make_claim(request_id, "n1", "mine")
    threading.Timer(0.005, leader.kill).start()
    calls.try_call(leader.port, "claim", mine, timeout_s=2.0)
    wait_until(lambda: leader.process.poll() is not None)

    def ask(claim):
        def once():
            answer = calls.try_call(others[0].port, "claim", claim)
            if answer is None or answer.verdict == Verdict.UNAVAILABLE:
                return None
            return answer

        return wait_until(once)

    assert ask(mine).verdict == Verdict.GRANTED
    theirs = calls.make_claim(request_id, "n2", "theirs")
    assert ask(theirs).verdict == Verdict.RUNNING


def test_an_owner_that_crashed_or_froze_leaves_the_outcome_unknown(cluster):
    """Its lease ends, or it starts again: the call is never granted again."""
    leader = cluster.wait_for_leader()
    port = leader.port
    wait_until(lambda: is_directory_complete(leader))
    crashed = new_request_id(600)
    frozen = new_request_id(601)
    for node, request_id in (("crashed", crashed), ("frozen", frozen)):
        calls.call(port, "heartbeat", calls.make_heartbeat(node))
        claim = calls.make_claim(request_id, node, "first")
        assert calls.call(port, "claim", claim).verdict == Verdict.GRANTED
    calls.call(port, "heartbeat", calls.make_heartbeat("crashed", 2))
    other = calls.make_claim(crashed, "n9", "n9")
    answer = calls.call(port, "claim", other)
    assert answer.verdict == Verdict.UNKNOWN_OUTCOME
    other = calls.make_claim(frozen, "n9", "n9")

    def ask():
        answer = calls.call(port, "claim", other)
        assert answer.verdict in (Verdict.RUNNING, Verdict.UNKNOWN_OUTCOME)
        return answer.verdict == Verdict.UNKNOWN_OUTCOME

    wait_until(ask)
    late = calls.make_settle(frozen, "frozen", "first")
    answer = calls.call(port, "settle", late)
    assert answer.verdict == Verdict.UNKNOWN_OUTCOME
    status = leader.status()
    unknown = {one["request_id"] for one in status["unknown_outcomes"]}
    assert {crashed, frozen} <= unknown


def is_directory_complete(instance):
    beat = calls.make_heartbeat("watch")
    return calls.call(instance.port, "heartbeat", beat).whole_directory


def test_a_removed_data_folder(cluster):
    """It comes back under a new identity; nothing accepted is lost."""
    base = now_version(cluster)
    victim = next(
        one for one in cluster.instances if one is not cluster.leader()
    )
    before = victim.status()["log"]["replica_id"]
    victim.kill()
    shutil.rmtree(victim.data_folder)
    answer = change_until_answered(
        [one for one in cluster.instances if one is not victim],
        "while-lost",
        base,
        document("while-lost"),
    )
    assert answer.status == 200
    victim.start()
    wait_until(lambda: (victim.status() or {"vouched_ms": 0})["vouched_ms"] > 0)
    wait_for_voters(cluster)
    after = victim.status()["log"]["replica_id"]
    assert after != before
    members = cluster.wait_for_leader().status()["log"]["members"]
    assert before not in [one["replica_id"] for one in members]
    check_histories(cluster, ["while-lost"], base)


def test_a_deaths_count_is_shared(cluster):
    for place, one in enumerate(cluster.instances):
        report = ttypes.SuspectReport(
            fingerprint="poison", endpoint_id=f"e{place}", incarnation=1
        )
        answer = calls.call(one.port, "report_suspect", report)
        assert answer.deaths == place + 1
    again = calls.call(cluster.instances[0].port, "report_suspect", report)
    assert again.deaths == 3
    asked = ttypes.SuspectReport(
        fingerprint="poison", endpoint_id="", incarnation=0
    )
    wait_until(
        lambda: (
            calls.call(
                cluster.instances[1].port, "report_suspect", asked
            ).deaths
            == 3
        )
    )


def test_wrong_keys_and_frames_are_refused_logged_and_counted(cluster):
    instance = cluster.instances[0]
    before = instance.status()["counters"]
    for name, message in (
        ("heartbeat", calls.make_heartbeat()),
        ("claim", calls.make_claim(new_request_id(1))),
        ("settle", calls.make_settle(new_request_id(1))),
        ("propose", ttypes.Command(at_ms=0)),
        ("contact", ttypes.Contact(replica_id="c9@1", address="x")),
    ):
        with pytest.raises(ttypes.Refused) as caught:
            calls.call(instance.port, name, message, key="wrong-key")
        assert caught.value.reason == "wrong key"
    length = (2 << 20).to_bytes(4, "big")
    with contextlib.suppress(ConnectionResetError):
        assert calls.send_raw(instance.port, length + b"x" * 100) == b""
    with contextlib.suppress(ConnectionResetError):
        assert calls.send_raw(instance.port, b"\0\0\0\x04junk") == b""
    counters = instance.status()["counters"]
    assert counters["wrong_keys"] == before["wrong_keys"] + 5
    assert counters["bad_frames"] == before["bad_frames"] + 2
    assert instance.request("GET", "/v1/status", token="wrong").status == 401
    logged = {one["event"] for one in instance.events()}
    assert {
        "wrong-cluster-key",
        "wrong-operator-token",
        "bad-frame",
    } <= logged


def test_logs_are_json_lines_without_secrets(cluster):
    for one in cluster.instances:
        text = one.log.read_text()
        assert cluster_module.KEY not in text
        assert cluster_module.TOKEN not in text
        assert "classes:" not in text
        assert "Traceback" not in text
        assert all(line.startswith("{") for line in text.splitlines() if line)


def test_a_socket_that_says_nothing_harms_nothing(cluster):
    instance = cluster.instances[0]
    with socket.create_connection(("127.0.0.1", instance.port), 4.0):
        beat = calls.make_heartbeat("quiet")
        assert calls.call(instance.port, "heartbeat", beat).lease_ms == 1000
