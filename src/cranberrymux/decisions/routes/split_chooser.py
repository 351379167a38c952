"""Splits a route's requests among its target services by weight."""

from cranberrymux.decisions.routes import route as route_module


class SplitChooser:
    """Smooth weighted round robin, with separate state for each route.

    Over any sequence of requests, however short, the number that each service
    gets differs from its share by at most one request.
    """

    def __init__(self) -> None:
        """Starts with zero credit for each target."""
        self._credits: dict[
            str, tuple[tuple[route_module.Target, ...], list[float]]
        ] = {}

    def choose(self, route: route_module.Route) -> str:
        """Returns the target service of a route's next request.

        A change of the route's targets resets their credits.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        known, credits = self._credits.get(route.name, ((), []))
        if known != targets:
            credits = [0.0] * len(targets)
            self._credits[route.name] = (targets, credits)
        total = 0.0
        best = 0
        for index, target in enumerate(targets):
            credits[index] += target.weight
            total += target.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= total
        return targets[best].service
