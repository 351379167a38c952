"""What a stand-in tells of itself, and how it is changed at run time."""

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
    """Answers `GET /load` with the load as told."""

    isLeaf = True  # noqa: N815

    def __init__(self, behaviour: behaviour_module.Behaviour) -> None:
        """Tells the load that `behaviour` gives."""
        super().__init__()
        self._behaviour = behaviour

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Gives `{"load": 0.0 to 1.0}`."""
        request.setHeader(b"content-type", b"application/json")
        return json.dumps({"load": self._behaviour.told_load()}).encode()


class CountersResource(resource.Resource):
    """Answers `GET /counters`."""

    isLeaf = True  # noqa: N815

    def __init__(self, counters: counters_module.Counters) -> None:
        """Tells the counts of `counters`."""
        super().__init__()
        self._counters = counters

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        """Gives a `CountersView` as JSON."""
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(self._counters.view()).encode()


class BehaviourResource(resource.Resource):
    """Answers `POST /behaviour`."""

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        behaviour: behaviour_module.Behaviour,
        begin_drain: Callable[[], object],
    ) -> None:
        """Changes a stand-in.

        Args:
            behaviour: Takes the numbers.
            begin_drain: Called for `{"drain": true}`.
        """
        super().__init__()
        self._behaviour = behaviour
        self._begin_drain = begin_drain

    def render_POST(self, request: server.Request) -> bytes:  # noqa: N802
        """Takes a JSON object; answers 400 and changes nothing if wrong."""
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
