"""Health check of the backend server when a node starts."""

from collections.abc import Callable
from typing import Any

import structlog

from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.routes import route_document
from cranberrymux.gateway import backend_signals
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import socket_address
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import answer_limits
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import lost_answer

TIMEOUT_S = 1.0
_HEALTHY_STATUS = 200


class StartupHealthCheck:
    """Sends one health check and builds an announcement from its answer.

    Guards against refusals after a restart of the node: a backend server
    announces itself every second or two, and until the first announcement the
    node would refuse requests that the backend server could run.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        on_found: Callable[
            [announcement.Announcement, backend_signals.BackendSignals], None
        ],
        on_healthy: Callable[[str], None],
        on_leaving: Callable[[str], Any],
    ) -> None:
        """Prepares the check; `start` sends it.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
            on_found: Called with the announcement of a healthy backend server
                and what it says of itself.
            on_healthy: Called with the id of a backend server that passed the
                check, before `on_found`; empty if its answer names none.
            on_leaving: Called with the id of a backend server that says that it
                is leaving.
        """
        self._settings = settings
        self._reactor = reactor
        self._on_found = on_found
        self._on_healthy = on_healthy
        self._on_leaving = on_leaving
        self._has_ended = False
        self._pool = connection_pool.ConnectionPool(
            reactor, limits=answer_limits.HEAD_ONLY
        )
        self._lease: connection_pool.Lease | None = None
        self._connection: client_connection.ClientConnection | None = None
        self._head: answer_head.AnswerHead | None = None
        self._health_path = ""
        self._timer: Any = None
        self._events = structlog.get_logger()

    @property
    def is_running(self) -> bool:
        """True until the check has passed or failed."""
        return not self._has_ended

    def start(self, document: route_document.RouteDocument) -> None:
        """Sends the health check that the configuration defines.

        Args:
            document: Configuration that names the health check's path.
        """
        address = socket_address.parse(self._settings.backend_address)
        health_paths = [
            service.health_path
            for service in document.services
            if service.name == self._settings.service
        ]
        if address is None or not health_paths:
            self._end("no backend address or no health check is configured")
            return
        self._health_path = health_paths[0]
        self._timer = self._reactor.callLater(TIMEOUT_S, self._timed_out)
        self._lease = self._pool.take(
            socket_address.SocketAddress(address.host, address.port),
            self._connected,
            self.answer_lost,
        )

    def _connected(
        self, connection: client_connection.ClientConnection
    ) -> None:
        self._connection = connection
        request = b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (
            self._health_path.encode(),
            self._settings.backend_address.encode(),
        )
        connection.send_request(request, True, False, self)

    # Callbacks of the connection.

    def answer_interim(
        self, status: int, extra: headers_module.HeaderList
    ) -> None:
        """Does nothing on interim answers."""

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Stores the head until the answer is complete."""
        self._head = head

    def answer_part(self, part: bytes) -> None:
        """Discards the body."""

    def answer_complete(self) -> None:
        """Reports the backend server if it accepts requests."""
        self._connection = None
        assert self._head is not None
        first = headers_module.index(self._head.headers)
        signals = backend_signals.read(
            self._head, first, self._settings.dialect
        )
        if signals.is_leaving:
            self._handle_leaving(self._head)
            return
        backend_id = headers_module.find(
            self._head.headers, self._settings.dialect.backend_id
        )
        decoded_id = (backend_id or b"").decode("latin-1")
        is_healthy = self._head.status == _HEALTHY_STATUS
        has_found = is_healthy and decoded_id and signals.load is not None
        self._end("" if has_found else _describe(self._head, signals))
        if is_healthy:
            self._on_healthy(decoded_id)
        if has_found and signals.load is not None:
            found = self._make_announcement(decoded_id, signals.load.slots)
            self._on_found(found, signals)

    def answer_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Ends the check; the next announcement finds the backend server."""
        self._connection = None
        self._end(loss.detail)

    def request_buffer_full(self) -> None:
        """Does nothing: the request has no body."""

    def request_buffer_drained(self) -> None:
        """Does nothing: the request has no body."""

    def _handle_leaving(self, head: answer_head.AnswerHead) -> None:
        self._end("the backend server is leaving")
        backend_id = headers_module.find(
            head.headers, self._settings.dialect.backend_id
        )
        if backend_id:
            self._on_leaving(backend_id.decode("latin-1"))

    def _make_announcement(
        self, backend_id: str, slots: int
    ) -> announcement.Announcement:
        return announcement.Announcement(
            backend_id=backend_id,
            # Older than any announcement of the backend server itself.
            started_ms=0,
            sequence=0,
            service=self._settings.service,
            address=self._settings.backend_address,
            zone=self._settings.zone,
            slots=slots,
            state=announcement.BackendState.SERVING,
            cold_left_s=0.0,
        )

    def _timed_out(self) -> None:
        self._timer = None
        if self._lease is not None:
            self._lease.is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()
            self._connection = None
        self._end("health check timed out")

    def _end(self, detail: str) -> None:
        self._has_ended = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._pool.close()
        self._events.info("backend-asked", found=not detail, detail=detail)


def _describe(
    head: answer_head.AnswerHead, signals: backend_signals.BackendSignals
) -> str:
    """Describes why an answer announces no backend server."""
    detail = f"no usable health check answer: status {head.status}"
    if signals.load_error:
        detail += f", load figures: {signals.load_error}"
    return detail
