"""Puts configurations in force on a gateway."""

import structlog

from cranberrymux.decisions.routes import route_document
from cranberrymux.decisions.routes import route_table


class RoutesHolder:
    """The newest configuration; never goes back to an older one."""

    def __init__(self) -> None:
        """Starts without a configuration."""
        self._version = 0
        self._table: route_table.RouteTable | None = None
        self._events = structlog.get_logger()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return self._version

    @property
    def table(self) -> route_table.RouteTable | None:
        """Routes in force; None before any configuration is known."""
        return self._table

    def take(self, version: int, text: str) -> None:
        """Puts a newer configuration in force, in one step."""
        if version <= self._version:
            return
        document = route_document.load(text)
        if isinstance(document, route_document.RouteDocumentError):
            self._events.error(
                "configuration-not-valid",
                version=version,
                detail=document.detail,
            )
            return
        self._table = route_table.RouteTable(document)
        self._version = version
        self._events.info(
            "configuration-in-force",
            version=version,
            label=document.label,
            routes=len(document.routes),
        )
