"""Nodes as real processes: settings, a whole path, a planned stop."""

import http.client
import signal
import subprocess
import sys
import threading
import time

import pytest

from cranberrymux.demo import deployment
from cranberrymux.demo import service_plan

LIMIT_S = 20
SERVICE_TIME_MS = 700.0


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    one = deployment.Deployment(str(tmp_path_factory.mktemp("deployment")))
    try:
        one.start_controls()
        one.start_services(
            [
                service_plan.ServicePlan(
                    "leaf", ("zone-0", "zone-1"), 4, SERVICE_TIME_MS
                ),
                service_plan.ServicePlan("top", ("zone-0",), 4, 0.0, ("leaf",)),
            ]
        )
        top = one.find("top")[0].ingress_port
        _wait_for(lambda: _get(top)[0] == 200)
        yield one
    finally:
        one.stop()


def _get(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("GET", "/x")
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    return answer.status, body


def _wait_for(condition):
    due_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < due_s
        time.sleep(0.02)


def test_answer_comes_back_through_two_services(running):
    status, body = _get(running.find("top")[0].ingress_port)
    assert status == 200
    assert b'"service": "leaf"' in body


def test_sigterm_cuts_off_no_request_in_flight(running):
    leaving, staying = running.find("leaf")
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(_get(leaving.ingress_port))
    )
    thread.start()
    _wait_for(lambda: running.get_status(leaving).get("in_flight") == 1)
    leaving.node.send_signal(signal.SIGTERM)
    _wait_for(lambda: running.get_status(leaving).get("state") == "draining")
    thread.join(LIMIT_S)
    assert [status for status, _ in answers] == [200]
    _wait_for(lambda: not leaving.node.is_running)
    assert leaving.node.kill() == 0
    status, body = _get(running.find("top")[0].ingress_port)
    assert status == 200
    assert staying.node_id.encode() in body


def test_killed_node_is_left_for_another(running):
    """The last node of a service dies: callers are told at once."""
    staying = running.find("leaf")[1]
    staying.node.send_signal(signal.SIGKILL)
    _wait_for(lambda: not staying.node.is_running)
    began_s = time.monotonic()
    status, _ = _get(running.find("top")[0].ingress_port)
    assert status == 502
    assert time.monotonic() - began_s < 2


@pytest.mark.parametrize(
    ("text", "line", "key"),
    [
        ("node_id: a\nregoin: b\n", 2, "regoin"),
        ("node_id: a\nheartbeat_ms: 1s\n", 2, "heartbeat_ms"),
        ("node_id: a\ningress_port: 99999\n", 2, "ingress_port"),
        ("node_id: a\n", 1, "region"),
    ],
)
def test_wrong_settings_name_the_place_and_end_with_2(
    tmp_path, text, line, key
):
    path = tmp_path / "node.yaml"
    path.write_text(text, encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "cranberrymux.node", "--settings", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.startswith(f"{path}:{line}: {key}: expected ")
    assert done.stdout == ""
