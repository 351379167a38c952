"""Guards against a stand-in process that misreports or loses calls.

The demo and the benchmarks trust its counters, answers and drain. It runs here
without a node: child calls go to another stand-in instead of the egress port,
and announcements to a fake node.
"""

import concurrent.futures
import http.client
import http.server
import json
import subprocess
import sys
import threading
import time

import pytest

REQUEST_ID_HEADERS = {"Cranberrymux-Request-Id": "id-1"}


def _wait_until(condition):
    deadline_s = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.01)


def test_child_calls_carry_the_request_id_and_context(start_standin):
    child = start_standin("ledger", response_bytes=500)
    parent = start_standin(
        "signing",
        egress_url=f"http://{child.target}",
        children=[{"service": "ledger", "count": 2}],
    )
    context = "1;id-1;0.3;officer;900;0;5;2;1;o"
    status, answer, _ = parent.ask(
        "/sign?x=1",
        headers={**REQUEST_ID_HEADERS, "Cranberrymux-Context": context},
    )
    assert (status, answer["service"], answer["path"]) == (
        200,
        "signing",
        "/sign?x=1",
    )
    assert [
        child_answer["request_id"] for child_answer in answer["children"]
    ] == ["id-1"] * 2
    assert child.counters()["runs"] == {"id-1": 2}
    assert child.counters()["runs_by_call"] == {"id-1/0.3": 2}


@pytest.mark.parametrize("path", ["/x", "/load", "/counters"])
def test_every_answer_repeats_the_request_id(start_standin, path):
    """Guards against answers that a node cannot tell from others."""
    standin = start_standin("a")
    _, _, headers = standin.ask(path, headers=REQUEST_ID_HEADERS)
    assert headers["Cranberrymux-Request-Id"] == "id-1"


def test_calls_beyond_slots_and_queue_get_503(start_standin):
    standin = start_standin("a", slots=1, queue_limit=1, service_time_ms=300)
    with concurrent.futures.ThreadPoolExecutor(4) as threads:
        futures = [
            threads.submit(standin.ask, "/", None, REQUEST_ID_HEADERS)
            for _ in range(4)
        ]
        statuses = sorted(future.result()[0] for future in futures)
    assert statuses == [200, 200, 503, 503]
    assert standin.counters()["refused"] == 2


def test_closed_caller_connection_cancels_the_call_and_its_children(
    start_standin,
):
    child = start_standin("deep", service_time_ms=60_000)
    parent = start_standin(
        "top",
        egress_url=f"http://{child.target}",
        children=[{"service": "deep"}],
    )
    connection = http.client.HTTPConnection("127.0.0.1", parent.port)
    connection.request("GET", "/", headers=REQUEST_ID_HEADERS)
    _wait_until(lambda: child.counters()["running"] == 1)
    connection.close()
    _wait_until(lambda: parent.counters()["cancelled"] == 1)
    _wait_until(lambda: child.counters()["cancelled"] == 1)
    assert child.counters()["running"] == parent.counters()["running"] == 0


def test_refused_child_call_gives_502_with_its_reason_and_retry_times(
    start_standin,
):
    class Refusal(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(503)
            self.send_header("Cranberrymux-Reason", "overloaded")
            self.send_header("Retry-After", "2")
            self.send_header("Cranberrymux-Retry-After-Ms", "1500")
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *_):
            pass

    with http.server.HTTPServer(("127.0.0.1", 0), Refusal) as egress:
        threading.Thread(
            target=egress.serve_forever, args=(0.01,), daemon=True
        ).start()
        middle = start_standin(
            "middle",
            egress_url=f"http://127.0.0.1:{egress.server_port}",
            children=[{"service": "deep"}],
        )
        top = start_standin(
            "top",
            egress_url=f"http://{middle.target}",
            children=[{"service": "middle"}],
        )
        answers = [
            standin.ask("/", headers=REQUEST_ID_HEADERS)
            for standin in (middle, top)
        ]
        egress.shutdown()
    assert [(status, body["reason"]) for status, body, _ in answers] == [
        (502, "overloaded")
    ] * 2
    assert [body["child"] for _, body, _ in answers] == ["deep", "middle"]
    headers = answers[1][2]
    assert headers["Retry-After"] == "2"
    assert headers["Cranberrymux-Retry-After-Ms"] == "1500"


def test_only_a_call_with_the_crash_marker_ends_the_process(start_standin):
    standin = start_standin("a", crash_marker="poison")
    header = "Cranberrymux-Standin-Crash"
    assert standin.ask("/", headers={header: "other"})[0] == 200
    with pytest.raises((http.client.RemoteDisconnected, ConnectionError)):
        standin.ask("/", headers={header: "poison"})
    assert standin.process.wait(10) == 70


def test_stop_completes_the_call_in_flight(start_standin):
    standin = start_standin("a", service_time_ms=500)
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        future = threads.submit(standin.ask, "/", None, REQUEST_ID_HEADERS)
        _wait_until(lambda: standin.counters()["running"] == 1)
        status, lines = standin.stop()
        assert future.result()[0] == 200
    assert status == 0
    assert json.loads(lines.splitlines()[-1])["in_flight"] == 0


def test_behaviour_request_changes_the_load_or_gets_400(start_standin):
    standin = start_standin("a", load_bias=0.25)
    assert standin.ask("/load")[1] == {"load": 0.25}
    assert standin.ask("/behaviour", b'{"load_bias": 2}')[0] == 400
    assert standin.ask("/behaviour", b'{"slots": 2}')[0] == 400
    assert standin.ask("/behaviour", b'{"load_bias": 0.5}')[0] == 200
    assert standin.ask("/load")[1] == {"load": 0.5}


class _Node(http.server.ThreadingHTTPServer):
    """A fake node: records PUT requests and answers GET with a status.

    Attributes:
        put_requests: Path and decoded body of each PUT request.
        status: Answer to each GET request.
        path_to_lose: Path of which the next PUT request gets no answer.
        path_to_answer_000: Path of which the next PUT request gets an answer
            with this status.
    """

    def __init__(self):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_PUT(self):
                length = int(self.headers["Content-Length"])
                body = json.loads(self.rfile.read(length))
                self.server.put_requests.append((self.path, body))
                if self.path == self.server.path_to_lose:
                    self.server.path_to_lose = ""
                    return  # Closes the connection without an answer.
                if self.path == self.server.path_to_answer_000:
                    self.server.path_to_answer_000 = ""
                    self.wfile.write(
                        b"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}"
                    )
                    return
                self._answer({})

            def do_GET(self):
                self._answer(self.server.status)

            def _answer(self, values):
                body = json.dumps(values).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_):
                pass

        super().__init__(("127.0.0.1", 0), Handler)
        self.put_requests = []
        self.path_to_lose = ""
        self.path_to_answer_000 = ""
        self.status = {"in_flight": 0, "queued": 0}

    @property
    def url(self):
        return f"http://127.0.0.1:{self.server_port}"

    def paths(self):
        return [path for path, _ in self.put_requests]


@pytest.fixture
def node():
    with _Node() as fake_node:
        threading.Thread(
            target=fake_node.serve_forever, args=(0.01,), daemon=True
        ).start()
        yield fake_node
        fake_node.shutdown()


def test_announcement_contains_settings_and_each_child_once(
    start_standin, node
):
    standin = start_standin(
        "a",
        announce_url=node.url,
        slots=7,
        labels={"store": "x"},
        children=[{"service": "b"}, {"service": "b"}],
    )
    _wait_until(lambda: node.put_requests)
    assert node.put_requests[0] == (
        "/v1/backend",
        {
            "service": "a",
            "port": standin.port,
            "slots": 7,
            "labels": {"store": "x"},
            "calls": ["b"],
            "load_path": "/load",
        },
    )


def test_drain_is_requested_once_and_announcements_continue(
    start_standin, node
):
    standin = start_standin("a", announce_url=node.url)
    standin.ask("/behaviour", b'{"drain": true}')
    _wait_until(lambda: "/v1/drain" in node.paths())
    drain_index = node.paths().index("/v1/drain")
    _wait_until(lambda: "/v1/backend" in node.paths()[drain_index:])
    assert node.paths().count("/v1/drain") == 1


def test_a_drain_request_without_an_answer_is_repeated(start_standin, node):
    """Guards against a backend server that a busy node never drains."""
    node.path_to_lose = "/v1/drain"
    standin = start_standin("a", announce_url=node.url)
    standin.ask("/behaviour", b'{"drain": true}')
    _wait_until(lambda: node.paths().count("/v1/drain") == 2)


def test_a_drain_request_that_is_answered_000_is_repeated(start_standin, node):
    """Guards against a backend server that a node in trouble never drains."""
    node.path_to_answer_000 = "/v1/drain"
    standin = start_standin("a", announce_url=node.url)
    standin.ask("/behaviour", b'{"drain": true}')
    _wait_until(lambda: node.paths().count("/v1/drain") == 2)


def test_stop_accepts_calls_while_its_node_has_queued_ones(start_standin, node):
    node.status = {"in_flight": 0, "queued": 1}
    standin = start_standin("a", announce_url=node.url, settle_ms=300)
    standin.process.terminate()
    _wait_until(lambda: "/v1/drain" in node.paths())
    drain_seen_at_s = time.monotonic()
    while time.monotonic() < drain_seen_at_s + 0.6:
        assert standin.ask("/", headers=REQUEST_ID_HEADERS)[0] == 200
    node.status = {"in_flight": 0, "queued": 0}
    assert standin.process.wait(10) == 0


def test_stop_accepts_calls_until_the_settle_time_is_over(start_standin, node):
    standin = start_standin("a", announce_url=node.url, settle_ms=1500)
    # The settle time begins later, so a request sent in the next second has
    # half a second left to be answered.
    ends_at_s = time.monotonic() + 1.0
    standin.process.terminate()
    _wait_until(lambda: "/v1/drain" in node.paths())
    while time.monotonic() < ends_at_s:
        assert standin.ask("/", headers=REQUEST_ID_HEADERS)[0] == 200
    assert standin.process.wait(10) == 0


def test_invalid_settings_exit_with_status_2_and_name_the_line(tmp_path):
    path = tmp_path / "x.yaml"
    path.write_text("service: a\nslots: 0\n")
    completed = subprocess.run(
        [sys.executable, "-m", "cranberrymux.standin", "--settings", path],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 2
    assert "x.yaml:2: slots: expected" in completed.stderr
