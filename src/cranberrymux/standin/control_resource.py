"""HTTP resources that report and change the state of a stand-in."""

# twisted.web has no types on most of its methods.
# mypy: disable-error-code="no-untyped-call"

from collections.abc import Callable
import json
import os

from twisted.web import resource
from twisted.web import server

from cranberrymux.standin import behaviour as behaviour_module
from cranberrymux.standin import call_resource
from cranberrymux.standin import counters as counters_module


class LoadResource(resource.Resource):
    """Answers `GET /load` with the reported load."""

    isLeaf = True  # noqa: N815

    def __init__(self, behaviour: behaviour_module.Behaviour) -> None:
        """Reports the load of `behaviour`."""
        super().__init__()
        self._behaviour = behaviour

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Returns `{"load": LOAD}`, LOAD being from 0.0 to 1.0."""
        request.setHeader(b"content-type", b"application/json")
        return json.dumps({"load": self._behaviour.reported_load()}).encode()


class CountersResource(resource.Resource):
    """Answers `GET /counters` with the counts since the start."""

    isLeaf = True  # noqa: N815

    def __init__(self, counters: counters_module.Counters) -> None:
        """Reports the counts of `counters`."""
        super().__init__()
        self._counters = counters

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Returns a `CountersSnapshot` as JSON."""
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(self._counters.snapshot()).encode()


class BehaviourResource(resource.Resource):
    """Answers `POST /behaviour`: sets numbers, drains or crashes."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        behaviour: behaviour_module.Behaviour,
        begin_drain: Callable[[], object],
    ) -> None:
        """Stores what requests change.

        Args:
            behaviour: Checks the body and stores the numbers.
            begin_drain: Called for `{"drain": true}`; its result is ignored.
        """
        super().__init__()
        self._behaviour = behaviour
        self._begin_drain = begin_drain

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        """Carries out a JSON object; a wrong one gets 400 and changes nothing.

        `{"crash": true}` ends the process with `CRASH_EXIT_STATUS`.
        """
        request.setHeader(b"content-type", b"application/json")
        body = request.content.read() if request.content else b""
        if error := self._behaviour.change(body):
            request.setResponseCode(400)
            return json.dumps({"error": error}).encode()
        values = json.loads(body)
        if values.get("crash"):
            os._exit(call_resource.CRASH_EXIT_STATUS)
        if values.get("drain"):
            self._begin_drain()
        return b"{}"
