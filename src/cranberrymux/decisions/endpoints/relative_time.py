"""Time that a request takes at one endpoint, compared with its service."""

import math

from cranberrymux.decisions.endpoints import service_speed
from cranberrymux.models import endpoint_speed

# Ratio of working times up to which endpoints count as equally fast. Means of
# equal endpoints differ by up to this at random (four standard deviations).
TOLERATED_RATIO = 1.2
# Part of a larger ratio that is taken as random, too. Without it the fastest
# endpoints queue while others are idle.
DISCOUNT_RATIO = 1.1
# Bounds of what a report can do, so that a false one makes an endpoint neither
# free nor unusable.
MAXIMUM_RATIO = 4.0
# Age at which a report has no weight, so that an endpoint which gets no
# requests for its slowness is tried again.
LIFETIME_S = 5.0
# Load added to that of an endpoint before it is multiplied by its excess time,
# so that the speed of an idle one counts, too. With more, the fastest queue.
IDLE_LOAD = 0.5
# The same for the present slowness, which changes within a second.
PRESENT_LIFETIME_S = 0.3
_TOLERATED_LOG = math.log(TOLERATED_RATIO)
_DISCOUNT_LOG = math.log(DISCOUNT_RATIO)
_MAXIMUM_LOG = math.log(MAXIMUM_RATIO)
_MINIMUM_RATIO = 1.0 / MAXIMUM_RATIO


class RelativeTime:
    """Ratio of an endpoint's time for a request to the usual of its service.

    Attributes:
        weight: Weight in a random draw among the endpoints of the service:
            the inverse of the ratio, averaged over seconds.
        reported_at_s: Monotonic seconds of the last report; -inf before it.
    """

    __slots__ = (
        "_log_work",
        "_present_excess",
        "_service",
        "_usual_excess",
        "reported_at_s",
        "weight",
    )

    def __init__(self, service: service_speed.ServiceSpeed) -> None:
        """Starts with the usual time of the service."""
        self._service = service
        self._log_work: float | None = None
        self.reported_at_s = -math.inf
        self._usual_excess = 0.0
        self._present_excess = 0.0
        self.weight = 1.0

    @property
    def is_service_uneven(self) -> bool:
        """True if some endpoint of the service is faster or slower."""
        return self._service.uneven_count > 0

    def note(self, now_s: float, speed: endpoint_speed.EndpointSpeed) -> None:
        """Stores what the endpoint's node reports."""
        log_work = math.log(speed.work_s)
        self._service.replace(self._log_work, log_work)
        self._log_work = log_work
        self.reported_at_s = now_s
        log_ratio = log_work - self._service.mean_log
        ratio = 1.0
        if not -_TOLERATED_LOG <= log_ratio <= _TOLERATED_LOG:
            excess = min(abs(log_ratio) - _DISCOUNT_LOG, _MAXIMUM_LOG)
            ratio = math.exp(math.copysign(excess, log_ratio))
        # The time that requests wait for calls is the same everywhere.
        share = speed.work_share
        self._set_usual(1.0 / (1.0 - share + share / ratio))
        present = speed.present_slowness
        if not _MINIMUM_RATIO <= present <= MAXIMUM_RATIO:
            present = min(max(present, _MINIMUM_RATIO), MAXIMUM_RATIO)
        self._present_excess = share * (present - 1.0)

    def forget(self) -> None:
        """Returns to the usual time of the service."""
        self._service.replace(self._log_work, None)
        self._log_work = None
        self._present_excess = 0.0
        self._set_usual(1.0)

    def at(self, now_s: float) -> float:
        """Returns the ratio at present; 1.0 is the usual."""
        if not self._usual_excess and not self._present_excess:
            return 1.0
        age_s = now_s - self.reported_at_s
        if age_s >= LIFETIME_S:
            return 1.0
        ratio = 1.0 + self._usual_excess * (1.0 - age_s / LIFETIME_S)
        if age_s < PRESENT_LIFETIME_S:
            freshness = 1.0 - age_s / PRESENT_LIFETIME_S
            ratio *= 1.0 + freshness * self._present_excess
        return ratio

    def penalty(self, now_s: float, load: float) -> float:
        """Cost that speed adds to the load, below 0.0 if faster than usual.

        Args:
            now_s: Monotonic time in seconds.
            load: Requests at the endpoint per slot.
        """
        if not self._usual_excess and not self._present_excess:
            return 0.0
        excess = self.at(now_s) - 1.0
        if load <= 1.0:
            return excess * (load + IDLE_LOAD)
        # With a queue the speed loses its weight: slow endpoints with free
        # slots serve more than fast ones that are full and refuse.
        penalty = excess * (1.0 + IDLE_LOAD)
        if excess > 0.0:
            return max(penalty + 1.0 - load, 0.0)
        return penalty * max(2.0 - load, 0.0)

    def _set_usual(self, ratio: float) -> None:
        was_uneven = self._usual_excess != 0.0
        self._usual_excess = ratio - 1.0
        self.weight = 1.0 / ratio
        self._service.uneven_count += (ratio != 1.0) - was_uneven
