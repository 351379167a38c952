"""A session over whole nodes in memory that writes down what happens."""

import json
import re

from tests.fakes import cluster as clusters

_UUID = re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}")
REQUEST_ID = "01a3185c-5000-7000-8000-00000000000{}"


class Session:
    """Drives a cluster; each step leaves a line with the virtual time."""

    def __init__(self):
        self.cluster = clusters.Cluster()
        self.lines = []
        self._began_s = self.cluster.network.seconds()
        self._names = {}

    @property
    def text(self):
        return "\n".join(self.lines) + "\n"

    def note(self, text):
        now_s = self.cluster.network.seconds() - self._began_s
        self.lines.append(f"{now_s:8.3f}  {self._normalise(text)}")

    def wait(self, seconds):
        self.cluster.network.run(seconds)

    def add(self, name, service, **options):
        def answer(call):
            context = dict(call.head.headers)[b"cranberrymux-context"].decode()
            fields = context.split(";")
            self.note(
                f"{name} runs {call.head.method.decode()} "
                f"{call.head.target.decode()} request {fields[1]} "
                f"call {fields[2]} attempt {fields[8]} class {fields[5]}"
            )
            if options_answer is not None:
                options_answer(call)

        options_answer = options.pop("answer", None)
        member = self.cluster.add(name, service, answer, **options)
        self.note(f"{name} serves {service}")
        return member

    def configure(self, document):
        self.cluster.configure(document)
        versions = {
            name: member.node.configuration_version
            for name, member in sorted(self.cluster.members.items())
        }
        self.note(f"versions in force {versions}")

    def send(self, who, port, head, body=b"", seconds=0.05):
        """Sends a request; returns the client, whose answer `read` notes."""
        request = head.encode() + b"\r\nhost: a\r\n"
        if body:
            request += b"content-length: %d\r\n" % len(body)
        self.note(f"{who} sends {head.splitlines()[0]}")
        client = self.cluster.ask(port, request + b"\r\n" + body, seconds)
        client.who = who
        return client

    def ask(self, who, port, head, body=b"", seconds=0.05):
        client = self.send(who, port, head, body, seconds)
        self.read(client)
        return client

    def read(self, client):
        if not client.received:
            closed = "connection closed" if client.is_closed else "no answer"
            self.note(f"{client.who} has {closed}")
            return
        head, _, body = client.received.partition(b"\r\n\r\n")
        status = head.split(b" ")[1].decode()
        found = dict(
            line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:]
        )
        kind = found.get(b"cranberrymux-answer", b"-").decode()
        said = body.decode()
        if found.get(b"content-type") == b"application/json":
            values = json.loads(body)
            back = "come back" if values["retry_after_ms"] else "final"
            said = f"{values['reason']}, {back}"
        replayed = ", replayed" if b"cranberrymux-replayed" in found else ""
        self.note(f"{client.who} gets {status} {kind}{replayed}: {said}")

    def _normalise(self, text):
        def name(match):
            return self._names.setdefault(
                match.group(0), f"id-{len(self._names) + 1}"
            )

        return _UUID.sub(name, text)
