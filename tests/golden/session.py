"""Records what happens to whole nodes in memory, under virtual time."""

import json
import re

from tests.fakes import cluster as clusters

_UUID = re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}")
REQUEST_ID = "01a3185c-5000-7000-8000-00000000000{}"


class Session:
    """Drives a cluster and writes a line with the virtual time for each step.

    UUIDs are written as `id-N`, as they differ from run to run.

    Attributes:
        cluster: The cluster.
        lines: The lines so far.
    """

    def __init__(self):
        self.cluster = clusters.Cluster()
        self.lines = []
        self._started_at_s = self.cluster.network.seconds()
        self._uuid_names = {}

    @property
    def text(self):
        return "\n".join(self.lines) + "\n"

    def note(self, text):
        now_s = self.cluster.network.seconds() - self._started_at_s
        self.lines.append(f"{now_s:8.3f}  {self._normalise(text)}")

    def wait(self, seconds):
        self.cluster.network.run(seconds)

    def add(self, name, service, **options):
        def record_run(call):
            context = dict(call.head.headers)[b"cranberrymux-context"].decode()
            fields = context.split(";")
            self.note(
                f"{name} runs {call.head.method.decode()} "
                f"{call.head.target.decode()} request {fields[1]} "
                f"call {fields[2]} attempt {fields[8]} class {fields[5]}"
            )
            if send_answer is not None:
                send_answer(call)

        send_answer = options.pop("answer", None)
        member = self.cluster.add(name, service, record_run, **options)
        self.note(f"{name} serves {service}")
        return member

    def configure(self, document):
        self.cluster.configure(document)
        versions = {
            name: member.node.configuration_version
            for name, member in sorted(self.cluster.members.items())
        }
        self.note(f"versions in force {versions}")

    def send(self, client_name, port, head, body=b"", seconds=0.05):
        """Sends a request; returns the client, whose answer `read` records."""
        request = head.encode() + b"\r\nhost: a\r\n"
        if body:
            request += b"content-length: %d\r\n" % len(body)
        self.note(f"{client_name} sends {head.splitlines()[0]}")
        client = self.cluster.ask(port, request + b"\r\n" + body, seconds)
        client.name = client_name
        return client

    def ask(self, client_name, port, head, body=b"", seconds=0.05):
        client = self.send(client_name, port, head, body, seconds)
        self.read(client)
        return client

    def read(self, client):
        if not client.received:
            closed = "connection closed" if client.is_closed else "no answer"
            self.note(f"{client.name} has {closed}")
            return
        head, _, body = client.received.partition(b"\r\n\r\n")
        status = head.split(b" ")[1].decode()
        headers = dict(
            line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:]
        )
        kind = headers.get(b"cranberrymux-answer", b"-").decode()
        summary = body.decode()
        if headers.get(b"content-type") == b"application/json":
            values = json.loads(body)
            retry_advice = "come back" if values["retry_after_ms"] else "final"
            summary = f"{values['reason']}, {retry_advice}"
        replayed = ", replayed" if b"cranberrymux-replayed" in headers else ""
        self.note(f"{client.name} gets {status} {kind}{replayed}: {summary}")

    def _normalise(self, text):
        def uuid_name(match):
            return self._uuid_names.setdefault(
                match.group(0), f"id-{len(self._uuid_names) + 1}"
            )

        return _UUID.sub(uuid_name, text)
