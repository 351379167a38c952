"""One stand-in as a whole: its HTTP server, announcements and drain."""

# twisted.web has no types on most of its methods.
# mypy: disable-error-code="no-untyped-call"

from typing import Any
from typing import cast

import structlog
from twisted.internet import defer
from twisted.internet import task
from twisted.web import resource
from twisted.web import server

from cranberrymux.standin import announcer as announcer_module
from cranberrymux.standin import behaviour as behaviour_module
from cranberrymux.standin import call_resource
from cranberrymux.standin import child_client
from cranberrymux.standin import control_resource
from cranberrymux.standin import counters as counters_module
from cranberrymux.standin import standin_settings
from cranberrymux.standin import worker as worker_module
from cranberrymux.telemetry import event

LOAD_SAMPLE_PERIOD_S = 0.05
DRAIN_POLL_PERIOD_S = 0.05
LISTEN_BACKLOG_CONNECTIONS = 1024
_REQUEST_ID_HEADER = b"cranberrymux-request-id"


class _Root(resource.Resource):
    """Routes every path without a resource of its own to the calls."""

    def __init__(self, calls: call_resource.CallResource) -> None:
        super().__init__()
        self._calls = calls

    def getChildWithDefault(  # noqa: N802
        self, path: bytes, request: server.Request
    ) -> resource.Resource:
        """Repeats the request id, by which the node knows the answer."""
        request_id = request.getHeader(_REQUEST_ID_HEADER)
        if request_id is not None:
            request.setHeader(_REQUEST_ID_HEADER, request_id)
        return super().getChildWithDefault(path, request)

    def getChild(  # noqa: N802
        self, path: bytes, request: server.Request
    ) -> resource.Resource:
        return self._calls


class StandinServer:
    """Serves calls over HTTP, announces itself to its node and drains.

    It is the composition root of a stand-in: it creates every other part.
    """

    def __init__(
        self, settings: standin_settings.StandinSettings, reactor: Any
    ) -> None:
        """Creates the parts and listens on 127.0.0.1; announces nothing yet.

        Args:
            settings: The stand-in's settings.
            reactor: Clock, timers and TCP.

        Raises:
            twisted.internet.error.CannotListenError: The port is in use.
        """
        self._settings = settings
        self._reactor = reactor
        self._counters = counters_module.Counters()
        self._behaviour = behaviour_module.Behaviour(
            settings, reactor.seconds()
        )
        self._worker = worker_module.Worker(
            settings,
            self._behaviour,
            self._counters,
            child_client.ChildClient(settings, reactor),
            reactor,
        )
        # The default name of the endpoint contains the port, which the system
        # may choose; so the resources are built after the port is open.
        site = server.Site(resource.Resource(), timeout=None)
        self._listener = reactor.listenTCP(
            settings.port,
            site,
            backlog=LISTEN_BACKLOG_CONNECTIONS,
            interface="127.0.0.1",
        )
        site.resource = self._build_root()
        self._announcer = announcer_module.Announcer(
            settings, self.port, reactor
        )
        self._drain_started_at_s: float | None = None
        self._sampler = task.LoopingCall(self._record_load)
        self._sampler.clock = reactor

    @property
    def port(self) -> int:
        """TCP port that it listens on."""
        return cast(int, self._listener.getHost().port)

    @property
    def counters(self) -> counters_module.Counters:
        """Counts of its calls since the start."""
        return self._counters

    def start(self) -> None:
        """Starts the announcements and the sampling of the load."""
        self._sampler.start(LOAD_SAMPLE_PERIOD_S)
        self._announcer.start()
        structlog.get_logger().info(
            event.Event.STANDIN_READY,
            service=self._settings.service,
            port=self.port,
        )

    def begin_drain(self) -> defer.Deferred[None]:
        """Requests a drain from the node once; running calls continue."""
        if self._drain_started_at_s is not None:
            return defer.succeed(None)
        self._drain_started_at_s = self._reactor.seconds()
        return self._announcer.drain()

    async def stop(self) -> None:
        """Drains, waits for calls up to `drain_limit_ms`, stops listening.

        Calls are still accepted while it waits.
        """
        await self.begin_drain()
        limit_s = self._settings.drain_limit_ms / 1000
        deadline_s = self._reactor.seconds() + limit_s
        while self._reactor.seconds() < deadline_s:
            if await self._is_drained():
                break
            await task.deferLater(self._reactor, DRAIN_POLL_PERIOD_S)
        self._announcer.stop()
        if self._sampler.running:
            self._sampler.stop()
        await defer.maybeDeferred(self._listener.stopListening)
        structlog.get_logger().info(
            event.Event.STANDIN_STOPPED, in_flight=self._counters.running
        )

    async def _is_drained(self) -> bool:
        if self._counters.running:
            return False
        if not self._settings.announce_url:
            return True
        # Nodes that do not know of the drain yet still send calls to this node.
        settled_at_s = (self._drain_started_at_s or 0.0) + (
            self._settings.settle_ms / 1000
        )
        if self._reactor.seconds() < settled_at_s:
            return False
        return not await self._announcer.is_node_busy()

    def _build_root(self) -> _Root:
        endpoint = (
            self._settings.endpoint or f"{self._settings.service}:{self.port}"
        )
        root: Any = _Root(
            call_resource.CallResource(
                self._settings, endpoint, self._counters, self._worker
            )
        )
        root.putChild(b"load", control_resource.LoadResource(self._behaviour))
        root.putChild(
            b"counters", control_resource.CountersResource(self._counters)
        )
        root.putChild(
            b"behaviour",
            control_resource.BehaviourResource(
                self._behaviour, self.begin_drain
            ),
        )
        return cast(_Root, root)

    def _record_load(self) -> None:
        self._behaviour.record_load(self._reactor.seconds(), self._worker.load)
