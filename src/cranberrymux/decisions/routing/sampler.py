"""Power of two choices within one tier of candidates."""

from collections.abc import Sequence
import random
from typing import NamedTuple

from cranberrymux.decisions.routing import learned_endpoint
from cranberrymux.decisions.routing import service_averages

MAXIMUM_SCAN = 32
_COLD_DRAWS = 6


class Pick(NamedTuple):
    """An endpoint picked.

    Attributes:
        endpoint: The endpoint.
        cost: Its cost with one call more.
    """

    endpoint: learned_endpoint.LearnedEndpoint
    cost: float


class Sampler:
    """Picks the cheaper of two random candidates of one call.

    Cold endpoints are passed over by chance, so that their share of the work
    grows with their warmth also where little is in flight.

    Attributes:
        closed: True if an endpoint was passed over for its level.
    """

    __slots__ = (
        "_averages",
        "_excluded",
        "_generator",
        "_now_s",
        "_priority",
        "closed",
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
            generator: Source of chance.
            now_s: The present.
            averages: Averages of the service.
            priority: Priority of the call; None to ignore levels.
            excluded: Endpoints that the call may not go to.
        """
        self._generator = generator
        self._now_s = now_s
        self._averages = averages
        self._priority = priority
        self._excluded = excluded
        self.closed = False

    def pick(
        self, tier: Sequence[learned_endpoint.LearnedEndpoint], warm_s: float
    ) -> Pick | None:
        """Picks from a tier.

        Args:
            tier: Endpoints, at least one.
            warm_s: When all of them are warm.

        Returns:
            The endpoint and its cost; None if none of the tier takes the call.
        """
        count = len(tier)
        if count == 1:
            return self._weigh(tier[0], None)
        chance = self._generator.random
        first_index = int(chance() * count)
        second_index = int(chance() * (count - 1))
        if second_index >= first_index:
            second_index += 1
        first = tier[first_index]
        second = tier[second_index]
        if self._now_s < warm_s:
            first = self._replace_cold(tier, first)
            second = self._replace_cold(tier, second)
        picked = self._weigh(second, self._weigh(first, None))
        return picked or self._scan(tier, first_index)

    def _weigh(
        self, one: learned_endpoint.LearnedEndpoint, best: Pick | None
    ) -> Pick | None:
        """Returns the cheaper of best and an endpoint that takes the call."""
        if not self._admits(one):
            return best
        cost = one.cost(self._now_s, self._averages)
        if best is not None and best.cost <= cost:
            return best
        return Pick(one, cost)

    def _scan(
        self, tier: Sequence[learned_endpoint.LearnedEndpoint], start: int
    ) -> Pick | None:
        best = None
        for offset in range(min(len(tier), MAXIMUM_SCAN)):
            best = self._weigh(tier[(start + offset) % len(tier)], best)
        return best

    def _admits(self, one: learned_endpoint.LearnedEndpoint) -> bool:
        if self._excluded and one.record.endpoint_id in self._excluded:
            return False
        if self._priority is None or one.admits(self._now_s, self._priority):
            return True
        self.closed = True
        return False

    def _replace_cold(
        self,
        tier: Sequence[learned_endpoint.LearnedEndpoint],
        one: learned_endpoint.LearnedEndpoint,
    ) -> learned_endpoint.LearnedEndpoint:
        chance = self._generator.random
        for _ in range(_COLD_DRAWS):
            warmth = one.warmth(self._now_s)
            if warmth == 1.0 or chance() < warmth:
                return one
            one = tier[int(chance() * len(tier))]
        return one
