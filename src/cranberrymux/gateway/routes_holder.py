"""The routing configuration in force on a gateway."""

import structlog

from cranberrymux.decisions.routes import route_document
from cranberrymux.decisions.routes import route_table


class RoutesHolder:
    """Holds the configuration with the highest version received.

    A configuration that cannot be decoded is logged and leaves the previous
    one in force.
    """

    def __init__(self) -> None:
        """Starts without a configuration, at version 0."""
        self._version = 0
        self._table: route_table.RouteTable | None = None
        self._events = structlog.get_logger()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return self._version

    @property
    def table(self) -> route_table.RouteTable | None:
        """Routes in force; None before the first configuration."""
        return self._table

    def apply(self, version: int, text: str) -> None:
        """Puts a configuration in force if its version is higher.

        Args:
            version: Version of the configuration, from 1.
            text: Encoded configuration; see `route_document.dump`.
        """
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
            accounts=len(document.accounts),
        )
