"""The stand-in as a process, without a node.

Where it calls children, another stand-in takes the place of the egress port.
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

ID = {"Cranberrymux-Request-Id": "id-1"}


def _wait(condition):
    deadline = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


def test_answers_name_their_request_down_the_tree(start):
    child = start("ledger", response_bytes=500)
    parent = start(
        "signing",
        egress_url=f"http://{child.target}",
        children=[{"service": "ledger", "count": 2}],
    )
    context = "1;id-1;0.3;officer;900;0;5;2;1;o"
    status, answer, _ = parent.ask(
        "/sign?x=1", headers={**ID, "Cranberrymux-Context": context}
    )
    assert (status, answer["service"], answer["path"]) == (
        200,
        "signing",
        "/sign?x=1",
    )
    assert [one["request_id"] for one in answer["children"]] == ["id-1"] * 2
    assert child.counters()["runs"] == {"id-1": 2}
    assert child.counters()["runs_by_call"] == {"id-1/0.3": 2}


def test_refuses_over_slots_and_queue(start):
    one = start("a", slots=1, queue_limit=1, service_time_ms=300)
    with concurrent.futures.ThreadPoolExecutor(4) as threads:
        asked = [threads.submit(one.ask, "/", None, ID) for _ in range(4)]
        statuses = sorted(each.result()[0] for each in asked)
    assert statuses == [200, 200, 503, 503]
    assert one.counters()["refused"] == 2


def test_a_caller_that_hangs_up_cancels_its_work(start):
    child = start("deep", service_time_ms=60_000)
    parent = start(
        "top",
        egress_url=f"http://{child.target}",
        children=[{"service": "deep"}],
    )
    connection = http.client.HTTPConnection("127.0.0.1", parent.port)
    connection.request("GET", "/", headers=ID)
    _wait(lambda: child.counters()["running"] == 1)
    connection.close()
    _wait(lambda: parent.counters()["cancelled"] == 1)
    _wait(lambda: child.counters()["cancelled"] == 1)
    assert child.counters()["running"] == parent.counters()["running"] == 0


def test_a_refused_child_fails_the_call_with_its_reason(start):
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
        middle = start(
            "middle",
            egress_url=f"http://127.0.0.1:{egress.server_port}",
            children=[{"service": "deep"}],
        )
        top = start(
            "top",
            egress_url=f"http://{middle.target}",
            children=[{"service": "middle"}],
        )
        answers = [one.ask("/", headers=ID) for one in (middle, top)]
        egress.shutdown()
    assert [(status, one["reason"]) for status, one, _ in answers] == [
        (502, "overloaded")
    ] * 2
    assert [one["child"] for _, one, _ in answers] == ["deep", "middle"]
    headers = answers[1][2]
    assert headers["Retry-After"] == "2"
    assert headers["Cranberrymux-Retry-After-Ms"] == "1500"


def test_dies_of_a_marked_call_only(start):
    one = start("a", crash_marker="poison")
    header = "Cranberrymux-Standin-Crash"
    assert one.ask("/", headers={header: "other"})[0] == 200
    with pytest.raises((http.client.RemoteDisconnected, ConnectionError)):
        one.ask("/", headers={header: "poison"})
    assert one.process.wait(10) == 70


def test_a_stop_finishes_what_is_in_flight(start):
    one = start("a", service_time_ms=500)
    with concurrent.futures.ThreadPoolExecutor(1) as threads:
        asked = threads.submit(one.ask, "/", None, ID)
        _wait(lambda: one.counters()["running"] == 1)
        status, lines = one.stop()
        assert asked.result()[0] == 200
    assert status == 0
    assert json.loads(lines.splitlines()[-1])["in_flight"] == 0


def test_behaviour_changes_at_run_time(start):
    one = start("a", load_bias=0.25)
    assert one.ask("/load")[1] == {"load": 0.25}
    assert one.ask("/behaviour", b'{"load_bias": 2}')[0] == 400
    assert one.ask("/behaviour", b'{"slots": 2}')[0] == 400
    assert one.ask("/behaviour", b'{"load_bias": 0.5}')[0] == 200
    assert one.ask("/load")[1] == {"load": 0.5}


class _Node(http.server.ThreadingHTTPServer):
    """Takes announcements and drains, and tells a status."""

    def __init__(self):
        class Handler(http.server.BaseHTTPRequestHandler):
            def do_PUT(self):
                length = int(self.headers["Content-Length"])
                body = json.loads(self.rfile.read(length))
                self.server.seen.append((self.path, body))
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
        self.seen = []
        self.status = {"in_flight": 0, "queued": 0}

    @property
    def url(self):
        return f"http://127.0.0.1:{self.server_port}"

    def paths(self):
        return [path for path, _ in self.seen]


@pytest.fixture
def node():
    with _Node() as one:
        threading.Thread(
            target=one.serve_forever, args=(0.01,), daemon=True
        ).start()
        yield one
        one.shutdown()


def test_announces_what_it_is(start, node):
    one = start(
        "a",
        announce_url=node.url,
        slots=7,
        labels={"store": "x"},
        children=[{"service": "b"}, {"service": "b"}],
    )
    _wait(lambda: node.seen)
    assert node.seen[0] == (
        "/v1/backend",
        {
            "service": "a",
            "port": one.port,
            "slots": 7,
            "labels": {"store": "x"},
            "calls": ["b"],
            "load_path": "/load",
        },
    )


def test_announces_on_while_it_drains(start, node):
    one = start("a", announce_url=node.url)
    one.ask("/behaviour", b'{"drain": true}')
    _wait(lambda: "/v1/drain" in node.paths())
    begun = node.paths().index("/v1/drain")
    _wait(lambda: "/v1/backend" in node.paths()[begun:])
    assert node.paths().count("/v1/drain") == 1


def test_a_stop_waits_for_the_calls_that_its_node_still_sends(start, node):
    node.status = {"in_flight": 0, "queued": 1}
    one = start("a", announce_url=node.url, settle_ms=300)
    one.process.terminate()
    _wait(lambda: "/v1/drain" in node.paths())
    drained_s = time.monotonic()
    while time.monotonic() < drained_s + 0.6:
        assert one.ask("/", headers=ID)[0] == 200
    node.status = {"in_flight": 0, "queued": 0}
    assert one.process.wait(10) == 0


def test_a_stop_waits_until_its_node_sends_no_more(start, node):
    one = start("a", announce_url=node.url, settle_ms=600)
    one.process.terminate()
    _wait(lambda: "/v1/drain" in node.paths())
    drained_s = time.monotonic()
    while time.monotonic() < drained_s + 0.4:
        assert one.ask("/", headers=ID)[0] == 200
    assert one.process.wait(10) == 0


def test_wrong_settings_exit_with_2(tmp_path):
    path = tmp_path / "x.yaml"
    path.write_text("service: a\nslots: 0\n")
    done = subprocess.run(
        [sys.executable, "-m", "cranberrymux.standin", "--settings", path],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert "x.yaml:2: slots: expected" in done.stderr
