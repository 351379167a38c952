"""Power of two choices among the candidates of one tier."""

from collections.abc import Sequence
import random
from typing import NamedTuple

from cranberrymux.decisions.routing import service_averages
from cranberrymux.decisions.routing import tracked_endpoint

# Candidates examined if neither of the two sampled ones takes the call.
MAXIMUM_SCANNED_ENDPOINTS = 32
_MAXIMUM_COLD_REDRAWS = 6


class Pick(NamedTuple):
    """An endpoint picked from a tier and its cost.

    Attributes:
        endpoint: The endpoint picked.
        cost: Share of its capacity in use with one more call; 1.0 is full.
    """

    endpoint: tracked_endpoint.TrackedEndpoint
    cost: float


class Sampler:
    """Picks the cheaper of two random candidates for one call.

    Endpoints in slow start are skipped at random, so that their share of the
    calls grows with their warmth. Their cost alone would not achieve that
    while few calls are in flight.

    Attributes:
        is_level_exceeded: True if an endpoint was rejected because of its
            level.
    """

    __slots__ = (
        "_averages",
        "_excluded",
        "_generator",
        "_now_s",
        "_priority",
        "is_level_exceeded",
    )

    def __init__(
        self,
        generator: random.Random,
        now_s: float,
        averages: service_averages.ServiceAverages,
        priority: int | None,
        excluded: frozenset[str],
    ) -> None:
        """Prepares the choice for one call.

        Args:
            generator: Random generator of the samples.
            now_s: Monotonic time in seconds.
            averages: Averages of the service.
            priority: Priority number of the call; None to ignore levels.
            excluded: Ids of endpoints that the call must not go to.
        """
        self._generator = generator
        self._now_s = now_s
        self._averages = averages
        self._priority = priority
        self._excluded = excluded
        self.is_level_exceeded = False

    def pick(
        self, tier: Sequence[tracked_endpoint.TrackedEndpoint], warm_s: float
    ) -> Pick | None:
        """Picks an endpoint of a tier.

        Args:
            tier: Endpoints to pick from, at least one.
            warm_s: Monotonic seconds from which none of them is in slow start.

        Returns:
            The endpoint and its cost; None if no endpoint examined takes the
            call.
        """
        count = len(tier)
        if count == 1:
            return self._choose_cheaper(tier[0], None)
        draw = self._generator.random
        first_index = int(draw() * count)
        second_index = int(draw() * (count - 1))
        if second_index >= first_index:
            second_index += 1
        first = tier[first_index]
        second = tier[second_index]
        if self._now_s < warm_s:
            first = self._replace_cold(tier, first)
            second = self._replace_cold(tier, second)
        picked = self._choose_cheaper(second, self._choose_cheaper(first, None))
        return picked or self._scan(tier, first_index)

    def _choose_cheaper(
        self, endpoint: tracked_endpoint.TrackedEndpoint, best: Pick | None
    ) -> Pick | None:
        """Returns the cheaper of `best` and an endpoint, if that admits it."""
        if not self._admits(endpoint):
            return best
        cost = endpoint.cost(self._now_s, self._averages)
        if best is not None and best.cost <= cost:
            return best
        return Pick(endpoint, cost)

    def _scan(
        self, tier: Sequence[tracked_endpoint.TrackedEndpoint], start: int
    ) -> Pick | None:
        best = None
        for offset in range(min(len(tier), MAXIMUM_SCANNED_ENDPOINTS)):
            best = self._choose_cheaper(
                tier[(start + offset) % len(tier)], best
            )
        return best

    def _admits(self, endpoint: tracked_endpoint.TrackedEndpoint) -> bool:
        if self._excluded and endpoint.record.endpoint_id in self._excluded:
            return False
        if self._priority is None or endpoint.admits(
            self._now_s, self._priority
        ):
            return True
        self.is_level_exceeded = True
        return False

    def _replace_cold(
        self,
        tier: Sequence[tracked_endpoint.TrackedEndpoint],
        endpoint: tracked_endpoint.TrackedEndpoint,
    ) -> tracked_endpoint.TrackedEndpoint:
        draw = self._generator.random
        for _ in range(_MAXIMUM_COLD_REDRAWS):
            warmth = endpoint.warmth(self._now_s)
            if warmth == 1.0 or draw() < warmth:
                return endpoint
            endpoint = tier[int(draw() * len(tier))]
        return endpoint
