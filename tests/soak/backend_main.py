"""A backend server for the soak test, as a process of its own.

It takes some milliseconds for each request, makes two calls through its own
node if started with `--calls`, announces itself, and writes one JSON line for
each run that begins and each answer to a call of its own. It can be told to
send second answers behind its first ones, to name a rate limit in its answers
and to say in them that it is leaving.
"""

import argparse
from http import server
import http.client
import json
import os
import random
import sys
import threading
import time

from tests.soak import answers
from tests.soak import second_answers

ANNOUNCE_PERIOD_S = 0.4
STATE_PATH = "/state/"
CRASH_PATH_SUFFIX = "/crash"


class State:
    """State of the backend server, shared by the threads of its connections.

    `Handler._change_state` sets `slowness`, `failing`, `stuttering` and `limit`
    by their names.

    Attributes:
        options: The parsed command line.
        backend_id: Name and start time, so that it differs after a restart.
        born_ms: Start time, Unix time in milliseconds.
        sequence: Number of the last announcement.
        announced_state: `ready` or `draining`.
        slowness: Factor of the time that a request takes.
        failing: Probability that a request is answered with 500.
        stuttering: Probability that a second answer is sent behind an answer.
        limit: Rate limit that it names, requests a second; 0 for none.
        is_leaving: True if it says that it is leaving.
        active: Number of requests that run at present.
        lock: Guards `active` and the output.
    """

    def __init__(self, options):
        self.options = options
        self.backend_id = f"{options.name}-{time.time_ns()}"
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.announced_state = "ready"
        self.slowness = 1.0
        self.failing = 0.0
        self.stuttering = 0.0
        self.limit = 0.0
        self.is_leaving = False
        self.active = 0
        self.lock = threading.Lock()

    def record(self, event, **fields):
        """Writes one JSON line."""
        line = json.dumps(
            {
                "at": time.monotonic(),
                "event": event,
                "backend": self.backend_id,
                **fields,
            }
        )
        with self.lock:
            print(line, flush=True)

    def enter(self):
        """Takes a slot; returns False if none is free."""
        with self.lock:
            if self.active >= self.options.slots:
                return False
            self.active += 1
            return True

    def leave(self):
        with self.lock:
            self.active -= 1

    def announce_forever(self):
        while True:
            self.announce()
            time.sleep(ANNOUNCE_PERIOD_S)

    def announce(self):
        """Sends one announcement to the node; a failed one is dropped."""
        options = self.options
        self.sequence += 1
        body = json.dumps(
            {
                "service": options.service,
                "addr": options.announced,
                "zone": options.zone,
                "version": "v1",
                "concurrency": options.slots,
                "state": self.announced_state,
                "cold_left": "0ms",
                "seq": self.sequence,
                "born": self.born_ms,
            }
        )
        path = f"/cranberrymux/instances/{self.backend_id}"
        sent_state = self.announced_state
        try:
            connection = http.client.HTTPConnection(
                options.announce, timeout=1.0
            )
            connection.request("PUT", path, body)
            status = connection.getresponse().status
            connection.close()
        except OSError:
            return
        if status == 200 and sent_state == "draining":
            self.record("drain-acknowledged")

    def call_own_node(self, request_id, deadline_ms):
        """Calls the inner service; returns True if it answered with 200."""
        headers = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
        }
        connection = http.client.HTTPConnection(
            self.options.entry, timeout=deadline_ms / 1000 + 0.5
        )
        self.record("call-sent", id=request_id)
        try:
            connection.request("GET", "/c/inner", headers=headers)
            answer = answers.read(connection)
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        self.record("call-answered", id=request_id, answer=answer)
        return answer.status == 200


class Handler(server.BaseHTTPRequestHandler):
    """Handles the requests of one connection."""

    protocol_version = "HTTP/1.1"
    state: State

    def setup(self):
        super().setup()
        self._write_lock = threading.Lock()

    def log_message(self, *_):
        """Logs nothing, as standard output is for the JSON lines."""

    def do_GET(self):
        self._handle()

    def do_POST(self):
        self._handle()

    def _handle(self):
        length = int(self.headers.get("Content-Length", "0"))
        self.rfile.read(length)
        if self.path.startswith(STATE_PATH):
            self._change_state()
        elif self.path == "/health":
            self._answer_health()
        elif not self._is_expected():
            self._answer(421, "", {"Not-Run": "1"})
        elif not self._enter():
            self._answer(503, "", {"Not-Run": "1"})
        else:
            try:
                self._run()
            finally:
                self.state.leave()

    def _is_expected(self):
        expected = self.headers.get("Expect-Instance")
        return expected == self.state.backend_id

    def _enter(self):
        """Records the request and takes a slot; False if none is free."""
        request_id = self.headers.get("Request-Id", "")
        self.state.record("arrive", id=request_id, path=self.path)
        return self.state.enter()

    def _run(self):
        state = self.state
        request_id = self.headers.get("Request-Id", "")
        deadline_ms = int(self.headers.get("Deadline-Ms", "0"))
        started_at_s = time.monotonic()
        state.record(
            "begin",
            id=request_id,
            path=self.path,
            tenant=self.headers.get("Tenant", ""),
        )
        if self.path.endswith(CRASH_PATH_SUFFIX):
            self._crash()
        time.sleep(state.slowness * random.uniform(0.002, 0.02))
        is_success = random.random() >= state.failing
        if state.options.calls:
            for number in range(2):
                spent_ms = int((time.monotonic() - started_at_s) * 1000)
                left_ms = deadline_ms - spent_ms
                if left_ms <= 0 or not state.call_own_node(
                    f"{request_id}.{number}", left_ms
                ):
                    is_success = False
                    break
        self._answer(
            200 if is_success else 500,
            answers.make_body(request_id),
            {answers.PROOF_HEADER: answers.make_proof(request_id)},
            self._draw_second_answer(request_id),
        )

    def _crash(self):
        """Ends the process, other requests with it."""
        time.sleep(random.choice((0.0, random.uniform(0.0, 0.15))))
        self.state.record("crash", path=self.path)
        os._exit(1)

    def _draw_second_answer(self, request_id):
        if random.random() >= self.state.stuttering:
            return None
        return second_answers.draw(random, request_id)

    def _answer_health(self):
        state = self.state
        status = 200 if state.announced_state == "ready" else 503
        load = f"{state.active},0,{state.options.slots}"
        headers = {"Instance-Id": state.backend_id, "Server-Load": load}
        self._answer(status, "", headers)

    def _change_state(self):
        name, _, value = self.path[len(STATE_PATH) :].partition("/")
        if name == "drain":
            self.state.announced_state = "draining"
            self.state.announce()
        elif name == "leave":
            self.state.is_leaving = True
        else:
            setattr(self.state, name, float(value))
        if name == "limit":
            self.state.record("limit", per_s=self.state.limit)
        self._answer(200, "", {})

    def _answer(self, status, body, headers, second=None):
        request_id = self.headers.get(answers.ID_HEADER, "")
        headers = {
            answers.ID_HEADER: request_id,
            **headers,
            **self._make_self_report(),
            "Content-Length": len(body),
        }
        head = answers.encode_head(status, headers)
        content = body.encode()
        if second is None:
            self._write(head, content)
        elif second.delay_s == 0.0:
            self._write(head + content + second.data)
        else:
            self._write(head + content)
            threading.Timer(second.delay_s, self._write, (second.data,)).start()

    def _make_self_report(self):
        """Returns the headers that tell of this process, on every answer."""
        state = self.state
        headers = {answers.BACKEND_HEADER: state.backend_id}
        if state.limit:
            headers[answers.LIMIT_HEADER] = f"{state.limit:g}"
        if state.is_leaving:
            headers[answers.LEAVING_HEADER] = "1"
        return headers

    def _write(self, *parts):
        """Writes each part by itself, but no second answer between them."""
        try:
            with self._write_lock:
                for part in parts:
                    self.wfile.write(part)
        except (OSError, ValueError):
            self.close_connection = True


class Server(server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        """Ignores broken connections, which the injected faults cause."""


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("name", "service", "zone", "announced", "announce", "entry"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--calls", action="store_true")
    options = parser.parse_args()
    state = State(options)
    Handler.state = state
    host, _, port = options.listen.partition(":")
    http_server = Server((host, int(port)), Handler)
    threading.Thread(target=state.announce_forever, daemon=True).start()
    http_server.serve_forever()


if __name__ == "__main__":
    sys.exit(main())
