"""An application endpoint: serves requests and sends heartbeats to its node."""

import asyncio
import itertools
import json
import time

from review.common import http_messages
from review.common import processes

STAMP = "stand-in"


class Run:
    """One request that the endpoint began to work on.

    Attributes:
        request_id: Its id.
        path: Its path.
        began_s: Monotonic seconds at which it began.
    """

    def __init__(self, request_id, path):
        """Notes that it begins now."""
        self.request_id = request_id
        self.path = path
        self.began_s = time.monotonic()


class Endpoint:
    """Answers each request after some work with a body of some length.

    Attributes:
        endpoint_id: Id of this start.
        runs: The requests that it began to work on.
        is_leaving: True once its health check fails, as it is leaving.
        state: State that its heartbeats tell.
        work_s: Seconds that a request takes, by path prefix; 0.05 by default.
        body_bytes: Length of the answers.
        slots: Number of requests that run at once.
    """

    def __init__(self, platform, host, service):
        """Prepares the endpoint of a machine; `start` listens."""
        self._platform = platform
        self._host = host
        self._service = service
        self.born_ms = 0
        self.endpoint_id = ""
        self.beat_count = 0
        self.take_new_id()
        self.runs = []
        self.is_leaving = False
        self.state = "ready"
        self.work_s = {}
        self.body_bytes = 400
        self.slots = 20
        self._slots_taken = asyncio.Semaphore(self.slots)
        self._server = None
        self._beats = None
        self._writers = set()

    def take_new_id(self):
        """Becomes another start of the endpoint, whose counts begin anew."""
        self.born_ms = time.time_ns() // 1_000_000
        self.endpoint_id = f"i-{self._host}-{self.born_ms}"
        self.beat_count = 0

    def run_began(self, run):
        """Called with each request that it begins to work on."""

    async def start(self):
        """Listens, and sends heartbeats until `stop_beats`."""
        ip = self._platform.ip(self._host)
        port = self._platform.ports["app"]
        self._slots_taken = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 20
        )
        self._beats = asyncio.create_task(self._beat_forever())

    def end(self):
        """Ends as a process does: its connections close, its work is lost."""
        self.stop_beats()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def stop_beats(self):
        """Ends the heartbeats."""
        self._beats.cancel()

    def make_beat(self):
        """Returns the path and the body of the next heartbeat."""
        self.beat_count += 1
        body = {
            "service": self._service,
            "addr": self._platform.address(self._host, "app"),
            "zone": processes.ZONES[self._host % 3],
            "version": "v1",
            "concurrency": self.slots,
            "state": self.state,
            "cold_left": "0ms",
            "seq": self.beat_count,
            "born": self.born_ms,
        }
        return self._instance_path, json.dumps(body).encode()

    async def send_delete(self):
        """Says that it has left; returns the status of the answer."""
        body = json.dumps({"born": self.born_ms}).encode()
        answer = await http_messages.call(
            self._node_address, "DELETE", self._instance_path, {}, body
        )
        return answer.status

    @property
    def _instance_path(self):
        return f"/cranberrymux/instances/{self.endpoint_id}"

    @property
    def _node_address(self):
        return self._platform.address(self._host, "control")

    async def _beat_forever(self):
        while True:
            path, body = self.make_beat()
            try:
                await http_messages.call(
                    self._node_address, "PUT", path, {}, body
                )
                await asyncio.sleep(processes.BEAT_INTERVAL_S)
            except (OSError, EOFError, TimeoutError):
                await asyncio.sleep(0.2)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await http_messages.read_head(reader)
                await http_messages.read_body(reader, head.headers)
                await self._answer(head, writer)
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass  # The node closed the connection.
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head, writer):
        request_id = head.headers.get("request-id", "")
        path = head.first[1]
        own = {"Request-Id": request_id}
        if path == "/health":
            status = 503 if self.is_leaving else 200
            own = {"Instance-Id": self.endpoint_id}
            own["Server-Load"] = f"0,0,{self.slots}"
            writer.write(_encode(status, own))
        elif head.headers.get("expect-instance") not in (
            None,
            self.endpoint_id,
        ):
            writer.write(_encode(421, {**own, "Not-Run": "1"}))
        else:
            async with self._slots_taken:
                self.runs.append(Run(request_id, path))
                self.run_began(self.runs[-1])
                await asyncio.sleep(self._find_work_s(path))
            body = make_body(request_id, self.body_bytes)
            writer.write(_encode(200, {**own, "Server-Stamp": STAMP}, body))
        await writer.drain()

    def _find_work_s(self, path):
        for prefix, work_s in self.work_s.items():
            if path.startswith(prefix):
                return work_s
        return 0.05


def make_body(request_id, length):
    """Returns the whole body of the answer to a request."""
    pattern = f"{request_id} ".encode()
    return b"".join(itertools.repeat(pattern, length // len(pattern) + 1))[
        :length
    ]


def _encode(status, headers, body=b""):
    return http_messages.encode(f"HTTP/1.1 {status} Status", headers, body)
