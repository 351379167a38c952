"""Finds the route of a request."""

from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_document


class RouteTable:
    """Routes of one document, by host and longest prefix."""

    def __init__(self, document: route_document.RouteDocument) -> None:
        """Indexes the routes."""
        self.document = document
        self._hosts: dict[str, dict[str, route_module.Route]] = {}
        for route in document.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
        self._services = {one.name: one for one in document.services}

    def find(self, host: str, path: str) -> route_module.Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: Value of the `Host` header; a port is ignored.
            path: Path of the request, without the query.
        """
        routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = routes.get(path[: end + 1])
            if found is not None:
                return found
        return None
