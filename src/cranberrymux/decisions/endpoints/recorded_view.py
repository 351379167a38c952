"""Copy of what a node knows of an endpoint, for a choice that is explained."""

import math

from cranberrymux.decisions.endpoints import endpoint_figures
from cranberrymux.decisions.endpoints import endpoint_view


class RecordedView(endpoint_view.EndpointView):
    """Copy of an `EndpointView` that can describe itself.

    It shares the objects that the attributes refer to, which a choice only
    reads.
    """

    __slots__ = ()

    def __init__(self, view: endpoint_view.EndpointView) -> None:
        """Copies the references to the attributes."""
        for name in endpoint_view.EndpointView.__slots__:
            setattr(self, name, getattr(view, name))

    def describe(self, now_s: float) -> endpoint_figures.EndpointFigures:
        """Returns the figures.

        Args:
            now_s: Monotonic time in seconds.
        """
        failures_at_s = max(
            self._observed_failure_rate.set_at_s,
            self._reported_failure_rate.set_at_s,
        )
        return endpoint_figures.EndpointFigures(
            cost=self.cost(now_s),
            load=self.load(now_s),
            load_age_s=_find_age_s(now_s, self._reported_load.reported_at_s),
            outstanding=self.outstanding,
            slots=self.record.slots,
            relative_time=self.relative_time.at(now_s),
            speed_age_s=_find_age_s(now_s, self.relative_time.reported_at_s),
            slowness=self.slowness(now_s),
            slowness_age_s=_find_age_s(now_s, self._excess_slowness.set_at_s),
            failure_rate=self.failure_rate(now_s),
            failure_age_s=_find_age_s(now_s, failures_at_s),
            refusal_rate=self._refusal_rate,
            rate_limit_per_s=self.rate_limit.per_s,
            suspended_s=max(self._suspended_until_s - now_s, 0.0),
        )


def _find_age_s(now_s: float, noted_at_s: float) -> float | None:
    return None if noted_at_s == -math.inf else now_s - noted_at_s
