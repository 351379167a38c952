"""Invalid input to control instances, and secrets in their logs.

Guards against calls that are served with a wrong key or token or without a
required field, input that stops an instance, and keys, tokens or documents in
its logs. The last tests read what the others of this folder have logged.
"""

import contextlib
import socket

import pytest

from cranberrymux.wire import limits
from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls
from tests.control import checks
from tests.control import cluster as cluster_module


def test_wrong_key_token_or_frame_is_refused_logged_and_counted(cluster):
    instance = cluster.instances[0]
    before = instance.status()["counters"]
    for name, message in (
        ("heartbeat", calls.make_heartbeat()),
        ("claim", calls.make_claim(checks.make_request_id(1))),
        ("settle", calls.make_settlement(checks.make_request_id(1))),
        ("propose", ttypes.Command(at_ms=0)),
        ("contact", ttypes.Contact(replica_id="c9@1", address="x")),
    ):
        with pytest.raises(ttypes.Refused) as caught:
            calls.call(instance.port, name, message, key="wrong-key")
        assert caught.value.reason == "wrong key"
    incomplete = calls.make_claim(None)
    for message in (None, incomplete):
        with pytest.raises(ttypes.Refused) as caught:
            calls.call(instance.port, "claim", message)
        assert caught.value.reason == "bad message"
    with pytest.raises(ttypes.Refused):
        calls.call(instance.port, "claim", incomplete, key=None)
    length = (limits.MAXIMUM_FRAME_BYTES + 1).to_bytes(4, "big")
    with contextlib.suppress(ConnectionResetError):
        assert calls.send_raw(instance.port, length + b"x" * 100) == b""
    with contextlib.suppress(ConnectionResetError):
        assert calls.send_raw(instance.port, b"\0\0\0\x04junk") == b""
    counters = instance.status()["counters"]
    assert counters["wrong_keys"] == before["wrong_keys"] + 6
    assert counters["bad_frames"] == before["bad_frames"] + 4
    assert instance.request("GET", "/v1/status", token="wrong").status == 401
    logged = {event["event"] for event in instance.events()}
    assert {
        "wrong-cluster-key",
        "wrong-operator-token",
        "bad-frame",
    } <= logged


def test_each_instance_took_a_snapshot_during_the_earlier_tests(cluster):
    for instance in cluster.instances:
        assert instance.status()["log"]["snapshot_index"] > 0


def test_logs_are_json_lines_without_secrets(cluster):
    for instance in cluster.instances:
        text = instance.log.read_text()
        assert cluster_module.CLUSTER_KEY not in text
        assert cluster_module.OPERATOR_TOKEN not in text
        assert "classes:" not in text
        assert "Traceback" not in text
        assert all(line.startswith("{") for line in text.splitlines() if line)


def test_silent_connection_does_not_block_a_heartbeat(cluster):
    instance = cluster.instances[0]
    with socket.create_connection(("127.0.0.1", instance.port), 4.0):
        beat = calls.make_heartbeat("quiet")
        assert calls.call(instance.port, "heartbeat", beat).lease_ms == 1000
