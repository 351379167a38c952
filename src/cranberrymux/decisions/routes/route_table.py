"""Looks up the route of a request."""

from cranberrymux.decisions.accounts import account_index
from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_document


class RouteTable:
    """Index of one document's routes by host and path prefix.

    Attributes:
        document: The document.
        accounts: Its client accounts.
    """

    def __init__(self, document: route_document.RouteDocument) -> None:
        """Builds the index.

        Args:
            document: A valid document: no two routes share host and prefix.
        """
        self.document = document
        self.accounts = account_index.AccountIndex(document.accounts)
        self._hosts: dict[str, dict[str, route_module.Route]] = {}
        for route in document.routes:
            hosted = self._hosts.setdefault(route.host.lower(), {})
            hosted[route.prefix] = route
        self._services = {
            service.name: service for service in document.services
        }

    def find(self, host: str, path: str) -> route_module.Route | None:
        """Returns the route whose prefix is the longest one of the path.

        Args:
            host: Value of the `Host` header. Its case is ignored, and its port
                if no route names it.
            path: Path of the request, without the query.

        Returns:
            None if no route has this host and a prefix of this path.
        """
        routes = self._hosts.get(host)
        if routes is None:
            host = host.lower()
            routes = self._hosts.get(host)
        if routes is None:
            routes = self._hosts.get(host.partition(":")[0])
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = routes.get(path[: end + 1])
            if found is not None:
                return found
        return None
