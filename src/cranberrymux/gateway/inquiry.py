"""Asks the backend server beside a node that has just started who it is."""

from collections.abc import Callable
from typing import Any

import structlog

from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.routes import route_document
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import socket_address
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import lost_answer

TIMEOUT_S = 1.0
_LOAD_PARTS = 3


class Inquiry:
    """One health check.

    A backend server announces itself every second or two. Until then, a node
    that was restarted would refuse requests that it could run.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        on_found: Callable[[announcement.Announcement], None],
    ) -> None:
        """Keeps whom to tell.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
            on_found: Takes what a backend server that is well would announce.
        """
        self._settings = settings
        self._reactor = reactor
        self._on_found = on_found
        self._pool = connection_pool.ConnectionPool(reactor)
        self._lease: connection_pool.Lease | None = None
        self._connection: client_connection.ClientConnection | None = None
        self._head: answer_head.AnswerHead | None = None
        self._path = ""
        self._timer: Any = None
        self._events = structlog.get_logger()

    def start(self, document: route_document.RouteDocument) -> None:
        """Sends the check that the configuration names for the service."""
        address = socket_address.parse(self._settings.backend_address)
        paths = [
            one.health_path
            for one in document.services
            if one.name == self._settings.service
        ]
        if address is None or not paths:
            self._end("no address or no health check is known")
            return
        self._path = paths[0]
        self._timer = self._reactor.callLater(TIMEOUT_S, self._timed_out)
        self._lease = self._pool.take(
            connection_pool.Address(address.host, address.port),
            self._connected,
            self.answer_lost,
        )

    def _connected(
        self, connection: client_connection.ClientConnection
    ) -> None:
        self._connection = connection
        request = b"GET %b HTTP/1.1\r\nhost: %b\r\n\r\n" % (
            self._path.encode(),
            self._settings.backend_address.encode(),
        )
        connection.send_request(request, True, False, self)

    # The answer.

    def answer_interim(
        self, status: int, extra: headers_module.HeaderList
    ) -> None:
        """Ignores interim answers."""

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Takes the head."""
        self._head = head

    def answer_part(self, part: bytes) -> None:
        """Ignores the body."""

    def answer_complete(self) -> None:
        """Tells who is there, if it takes work."""
        self._connection = None
        assert self._head is not None
        found = self._read(self._head)
        if found is None:
            self._end(f"status {self._head.status}")
            return
        self._end("")
        self._on_found(found)

    def answer_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Waits for the next announcement."""
        self._connection = None
        self._end(loss.detail)

    def request_full(self) -> None:
        """Nothing is streamed."""

    def request_drained(self) -> None:
        """Nothing is streamed."""

    def _read(
        self, head: answer_head.AnswerHead
    ) -> announcement.Announcement | None:
        dialect = self._settings.dialect
        backend_id = headers_module.find(head.headers, dialect.backend_id)
        load = headers_module.find(head.headers, dialect.load) or b""
        parts = load.split(b",")
        slots = parts[-1].strip()
        is_told = len(parts) == _LOAD_PARTS and slots.isdigit()
        if head.status != 200 or not backend_id or not is_told:
            return None
        return announcement.Announcement(
            backend_id=backend_id.decode("latin-1"),
            # Anything that it announces itself is newer.
            started_ms=0,
            sequence=0,
            service=self._settings.service,
            address=self._settings.backend_address,
            zone=self._settings.zone,
            slots=int(slots),
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
        self._end("no answer in time")

    def _end(self, detail: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._pool.close()
        self._events.info("backend-asked", found=not detail, detail=detail)
