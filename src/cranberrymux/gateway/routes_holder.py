"""The routing configuration in force on a gateway."""

from collections.abc import Callable
from typing import Any

import structlog

from cranberrymux.decisions.routes import route_document
from cranberrymux.decisions.routes import route_table


class RoutesHolder:
    """Holds the configuration with the highest version received.

    A configuration that cannot be decoded is logged and leaves the previous
    one in force. Small ones are in force at once; large ones are decoded in
    steps, between which the node serves requests.

    Attributes:
        version: Version of the configuration in force; 0 for none.
        table: Routes in force; None before the first configuration.
    """

    def __init__(
        self,
        reactor: Any,
        on_applied: Callable[[route_table.RouteTable], None],
    ) -> None:
        """Starts without a configuration, at version 0.

        Args:
            reactor: Runs the steps.
            on_applied: Called with the routes of each version put in force.
        """
        self._reactor = reactor
        self._on_applied = on_applied
        self.version = 0
        self._loading_version = 0
        self.table: route_table.RouteTable | None = None
        self._events = structlog.get_logger()

    def apply(self, version: int, text: str) -> None:
        """Puts a configuration in force if its version is higher.

        Args:
            version: Version of the configuration, from 1.
            text: Encoded configuration; see `route_document.dump`.
        """
        if version <= max(self.version, self._loading_version):
            return
        self._loading_version = version
        self._continue(version, route_document.load_in_steps(text))

    def _continue(self, version: int, steps: route_document.LoadSteps) -> None:
        """Takes one step of decoding a version; a newer one ends it."""
        if version != self._loading_version:
            return
        try:
            next(steps)
        except StopIteration as end:
            self._loading_version = 0
            self._put_in_force(version, end.value)
            return
        self._reactor.callLater(0, self._continue, version, steps)

    def _put_in_force(
        self,
        version: int,
        document: (
            route_document.RouteDocument | route_document.RouteDocumentError
        ),
    ) -> None:
        if isinstance(document, route_document.RouteDocumentError):
            self._events.error(
                "configuration-not-valid",
                version=version,
                detail=document.detail,
            )
            return
        self.table = route_table.RouteTable(document)
        self.version = version
        self._events.info(
            "configuration-in-force",
            version=version,
            label=document.label,
            routes=len(document.routes),
            accounts=len(document.accounts),
        )
        self._on_applied(self.table)
