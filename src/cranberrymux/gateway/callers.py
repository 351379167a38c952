"""Where requests begin: who may, and when the others come back."""

from cranberrymux.decisions.pressure import retry_advice
from cranberrymux.decisions.pressure import root_admission
from cranberrymux.decisions.routes import route as route_module


class Callers:
    """Admission of roots, with what is learned of each route's clients."""

    def __init__(self, now_s: float) -> None:
        """Starts open."""
        self.admission = root_admission.RootAdmission(now_s)
        self._advice: dict[str, retry_advice.RetryAdvice] = {}

    def advice(self, route: route_module.Route) -> retry_advice.RetryAdvice:
        """Returns what is known of a route's clients."""
        found = self._advice.get(route.name)
        if found is None:
            found = retry_advice.RetryAdvice(route.objective_s)
            self._advice[route.name] = found
        return found

    def offer(
        self, route: route_module.Route, left_s: float, now_s: float
    ) -> bool:
        """Decides on a request; True if it may begin."""
        advice = self.advice(route)
        advice.note_arrival(left_s)
        turn = advice.classify_attempt(left_s)
        kind = root_admission.TrafficClass(route.priority, turn, route.name)
        return self.admission.offer(now_s, kind)
