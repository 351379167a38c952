"""Splits a route's requests among its target services by weight."""

from cranberrymux.decisions.routes import route as route_module


class SplitChooser:
    """Smooth weighted round robin, with separate state for each route.

    Over any sequence of requests, however short, the number that each service
    gets differs from its share by at most one request.
    """

    def __init__(self) -> None:
        """Starts with zero credit for each target."""
        # By host and prefix, as several routes may have one name.
        self._credits: dict[
            tuple[str, str], tuple[tuple[route_module.Target, ...], list[float]]
        ] = {}

    def choose(self, route: route_module.Route) -> str:
        """Returns the target service of a route's next request.

        A change of the route's targets resets their credits.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        key = (route.host, route.prefix)
        known, credits = self._credits.get(key, ((), []))
        if known != targets:
            credits = [0.0] * len(targets)
            self._credits[key] = (targets, credits)
        total = 0.0
        best = 0
        for index, target in enumerate(targets):
            credits[index] += target.weight
            total += target.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= total
        return targets[best].service
