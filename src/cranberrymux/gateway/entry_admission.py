"""Admission of client requests, and retry advice for refused clients."""

import random

from cranberrymux.decisions.pressure import retry_advice
from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.routes import route as route_module


class EntryAdmission:
    """Admits the roots of call trees, by what is known of their clients.

    Attributes:
        root_admission: Decides by the class of a request which roots may start.
    """

    def __init__(
        self, now_s: float, generator: random.Random | None = None
    ) -> None:
        """Starts with all requests admitted.

        Args:
            now_s: Monotonic seconds.
            generator: Source of randomness.
        """
        self.root_admission = root_admission.RootAdmission(now_s, generator)
        self._advice_by_route: dict[str, retry_advice.RetryAdvice] = {}

    def get_retry_advice(
        self, route: route_module.Route
    ) -> retry_advice.RetryAdvice:
        """Returns what is known of the clients of a route."""
        route_advice = self._advice_by_route.get(route.name)
        if route_advice is None:
            route_advice = retry_advice.RetryAdvice(route.objective_s)
            self._advice_by_route[route.name] = route_advice
        return route_advice

    def offer(
        self,
        route: route_module.Route,
        priority: int,
        left_s: float,
        now_s: float,
        account: str = "",
    ) -> int:
        """Classifies a client request and decides whether it may start.

        Args:
            route: Route of the request.
            priority: Priority rank of the request.
            left_s: Seconds that its client allows.
            now_s: Monotonic seconds.
            account: Name of its client account; empty for none.

        Returns:
            Number of requests that it stands for, see `RootAdmission`; 0 if it
            is refused.
        """
        advice = self.get_retry_advice(route)
        advice.note_arrival(left_s)
        timing = advice.classify_attempt(left_s)
        traffic_class = traffic_class_module.TrafficClass(
            priority, timing, route.name, account
        )
        return self.root_admission.admit(now_s, traffic_class)
