"""Shares a route's requests among its services by weight."""

from cranberrymux.decisions.routes import route as route_module


class SplitChooser:
    """Smooth weighted round robin for each route.

    Over any run of requests each service gets its share to within one
    request, also when the requests are few.
    """

    def __init__(self) -> None:
        """Starts with no credit for any service."""
        self._credits: dict[
            str, tuple[tuple[route_module.Target, ...], list[float]]
        ] = {}

    def choose(self, route: route_module.Route) -> str:
        """Returns the service for the next request of a route."""
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        known, credits = self._credits.get(route.name, ((), []))
        if known != targets:
            credits = [0.0] * len(targets)
            self._credits[route.name] = (targets, credits)
        total = 0.0
        best = 0
        for place, one in enumerate(targets):
            credits[place] += one.weight
            total += one.weight
            if credits[place] > credits[best]:
                best = place
        credits[best] -= total
        return targets[best].service
