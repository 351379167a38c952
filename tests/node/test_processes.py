"""Nodes as processes of their own, with control instances and services.

Guards against faults that show only in real processes on real sockets: requests
cut off by SIGTERM, callers that wait for a killed node, and wrong settings that
end without the place of the error.
"""

import http.client
import signal
import subprocess
import sys
import threading
import time

import pytest

from cranberrymux.demo import deployment
from cranberrymux.demo import service_plan

WAIT_LIMIT_S = 20
SERVICE_TIME_MS = 700.0


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    demo = deployment.Deployment(str(tmp_path_factory.mktemp("deployment")))
    try:
        demo.start_control_instances()
        demo.start_services(
            [
                service_plan.ServicePlan(
                    "leaf", ("zone-0", "zone-1"), 4, SERVICE_TIME_MS
                ),
                service_plan.ServicePlan("top", ("zone-0",), 4, 0.0, ("leaf",)),
            ]
        )
        top = demo.find_endpoints("top")[0].ingress_port
        _wait_for(lambda: _get(top)[0] == 200)
        yield demo
    finally:
        demo.stop()


def _get(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    connection.request("GET", "/x")
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    return answer.status, body


def _wait_for(condition):
    due_s = time.monotonic() + WAIT_LIMIT_S
    while not condition():
        assert time.monotonic() < due_s
        time.sleep(0.02)


def test_call_through_two_services_returns_the_answer_of_the_second(running):
    status, body = _get(running.find_endpoints("top")[0].ingress_port)
    assert status == 200
    assert b'"service": "leaf"' in body


def test_sigterm_lets_the_request_in_flight_end_before_the_node_does(running):
    leaving, staying = running.find_endpoints("leaf")
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(_get(leaving.ingress_port))
    )
    thread.start()
    _wait_for(lambda: running.get_status(leaving).get("in_flight") == 1)
    leaving.node.send_signal(signal.SIGTERM)
    _wait_for(lambda: running.get_status(leaving).get("state") == "draining")
    thread.join(WAIT_LIMIT_S)
    assert [status for status, _ in answers] == [200]
    _wait_for(lambda: not leaving.node.is_running)
    assert leaving.node.kill() == 0
    status, body = _get(running.find_endpoints("top")[0].ingress_port)
    assert status == 200
    assert staying.node_id.encode() in body


def test_call_fails_fast_when_the_last_node_of_a_service_is_killed(running):
    """Kills the last node of a service, so that no other can answer."""
    staying = running.find_endpoints("leaf")[1]
    staying.node.send_signal(signal.SIGKILL)
    _wait_for(lambda: not staying.node.is_running)
    began_s = time.monotonic()
    status, _ = _get(running.find_endpoints("top")[0].ingress_port)
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
def test_wrong_setting_is_reported_with_line_and_key_and_exit_code_2(
    tmp_path, text, line, key
):
    path = tmp_path / "node.yaml"
    path.write_text(text, encoding="utf-8")
    completed = subprocess.run(
        [sys.executable, "-m", "cranberrymux.node", "--settings", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stderr.startswith(f"{path}:{line}: {key}: expected ")
    assert completed.stdout == ""
