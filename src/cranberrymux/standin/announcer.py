"""Announces a stand-in to its node and reads the node's status."""

# twisted.web has no types on most of its methods.
# mypy: disable-error-code="no-untyped-call"

from typing import Any
from typing import TypedDict
from typing import cast

import structlog
import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure
from twisted.web import client

from cranberrymux.models import http_status
from cranberrymux.standin import standin_settings
from cranberrymux.telemetry import event

ANNOUNCE_PERIOD_S = 1.0
REQUEST_TIMEOUT_S = 2.0


class Announcement(TypedDict):
    """The body of `PUT /v1/backend`; see docs/PROTOCOL.md.

    Attributes:
        service: Name of the service that the stand-in offers.
        port: TCP port that it listens on.
        slots: Number of calls that it runs at once.
        labels: Labels of the endpoint.
        calls: Names of the services that it calls, sorted, each once.
        load_path: Path that answers with its load.
    """

    service: str
    port: int
    slots: int
    labels: dict[str, str]
    calls: list[str]
    load_path: str


class Announcer:
    """Sends the announcement every `ANNOUNCE_PERIOD_S` until it is stopped.

    Log lines are written when the outcome changes, not for each announcement.
    """

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        port: int,
        reactor: interfaces.IReactorTime,
    ) -> None:
        """Builds the announcement; sends nothing yet.

        Args:
            settings: The stand-in's settings.
            port: TCP port that the stand-in listens on.
            reactor: Clock and timers.
        """
        self._url = settings.announce_url
        self._announcement = Announcement(
            service=settings.service,
            port=port,
            slots=settings.slots,
            labels=dict(settings.labels),
            calls=sorted({child.service for child in settings.children}),
            load_path="/load",
        )
        # On a kept connection that its node is closing, a PUT would be lost.
        pool = client.HTTPConnectionPool(cast(Any, reactor), persistent=False)
        self._agent = client.Agent(
            cast(Any, reactor), connectTimeout=REQUEST_TIMEOUT_S, pool=pool
        )
        self._loop = task.LoopingCall(
            lambda: defer.ensureDeferred(self._announce())
        )
        self._loop.clock = reactor
        self._is_announced = False
        self._is_drain_due = False
        self._log = structlog.get_logger()

    def start(self) -> None:
        """Starts to announce, unless the settings name no node."""
        if self._url:
            self._loop.start(ANNOUNCE_PERIOD_S)

    def stop(self) -> None:
        """Stops the announcements; one that is under way is not cancelled."""
        if self._loop.running:
            self._loop.stop()

    def drain(self) -> defer.Deferred[None]:
        """Requests a drain from the node; the announcements continue.

        A request that the node does not accept is repeated after the next
        announcement.
        """
        if not self._url:
            return defer.succeed(None)
        return self._send_drain()

    async def is_node_busy(self) -> bool:
        """True if the node's status shows calls in flight or queued."""
        if not self._url:
            return False
        try:
            response = await treq.get(
                self._url + "/v1/status",
                agent=self._agent,
                timeout=REQUEST_TIMEOUT_S,
            )
            status = await response.json()
            return bool(status["in_flight"] or status["queued"])
        except (
            defer.CancelledError,
            error.ConnectError,
            error.ConnectionClosed,
            client.ResponseFailed,
            KeyError,
            TypeError,
            ValueError,
        ):
            # A node without a reachable, valid status sends no calls.
            return False

    async def _announce(self) -> None:
        await self._put("/v1/backend", self._announcement)
        if self._is_drain_due:
            await self._send_drain()

    def _send_drain(self) -> defer.Deferred[None]:
        def note_result(is_accepted: bool) -> None:
            self._is_drain_due = not is_accepted

        self._is_drain_due = False  # Not while this request is under way.
        return self._put("/v1/drain", {}).addCallback(note_result)

    def _put(self, path: str, body: Any) -> defer.Deferred[bool]:
        """Sends a request; the result is True if the node accepts it."""
        sent = treq.put(
            self._url + path,
            json=body,
            agent=self._agent,
            timeout=REQUEST_TIMEOUT_S,
        )
        sent.addCallback(self._start_check, path)
        sent.addErrback(self._log_failure, path)
        return sent

    async def _check_status(self, response: Any, path: str) -> bool:
        await response.content()
        is_accepted = (
            http_status.MINIMUM_FINAL
            <= response.code
            < http_status.MINIMUM_REDIRECTION
        )
        if is_accepted != self._is_announced:
            self._log.info(
                event.Event.STANDIN_ANNOUNCED, path=path, status=response.code
            )
        self._is_announced = is_accepted
        return is_accepted

    def _start_check(self, response: Any, path: str) -> defer.Deferred[bool]:
        return defer.Deferred.fromCoroutine(self._check_status(response, path))

    def _log_failure(self, reason: failure.Failure, path: str) -> bool:
        if self._is_announced:
            self._log.warning(
                event.Event.STANDIN_ANNOUNCE_FAILED,
                path=path,
                error=reason.getErrorMessage(),
            )
        self._is_announced = False
        return False
