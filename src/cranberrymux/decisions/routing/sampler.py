"""Power of two choices within one tier of candidates."""

from collections.abc import Sequence
import random

from cranberrymux.decisions.routing import learned_endpoint

MAXIMUM_SCAN = 32
_COLD_DRAWS = 6


class Sampler:
    """Picks the cheaper of two random candidates of one call.

    Cold endpoints are passed over by chance, so that their share of the work
    grows with their warmth also where little is in flight.
    """

    __slots__ = (
        "_excluded",
        "_generator",
        "_latency_s",
        "_now_s",
        "_priority",
        "closed",
    )

    def __init__(
        self,
        generator: random.Random,
        now_s: float,
        latency_s: float,
        priority: int | None,
        excluded: frozenset[str],
    ) -> None:
        """Prepares the choice for one call.

        Args:
            generator: Source of chance.
            now_s: The present.
            latency_s: Average latency of the service.
            priority: Priority of the call; None to ignore levels.
            excluded: Endpoints that the call may not go to.
        """
        self._generator = generator
        self._now_s = now_s
        self._latency_s = latency_s
        self._priority = priority
        self._excluded = excluded
        self.closed = False

    def cost(self, one: learned_endpoint.LearnedEndpoint) -> float:
        """Cost of sending the call there."""
        return one.cost(self._now_s, self._latency_s)

    def pick(
        self, tier: Sequence[learned_endpoint.LearnedEndpoint], warm_s: float
    ) -> learned_endpoint.LearnedEndpoint | None:
        """Picks from a tier; sets `closed` if a level stood against one.

        Args:
            tier: Endpoints.
            warm_s: When all of them are warm.

        Returns:
            The endpoint; None if none of the tier takes the call.
        """
        count = len(tier)
        if count == 0:
            return None
        if count == 1:
            return tier[0] if self._admits(tier[0]) else None
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
        chosen = self._cheaper(
            first if self._admits(first) else None,
            second if self._admits(second) else None,
        )
        return chosen or self._scan(tier, first_index)

    def _cheaper(
        self,
        first: learned_endpoint.LearnedEndpoint | None,
        second: learned_endpoint.LearnedEndpoint | None,
    ) -> learned_endpoint.LearnedEndpoint | None:
        if first is None or second is None:
            return first or second
        return first if self.cost(first) <= self.cost(second) else second

    def _scan(
        self, tier: Sequence[learned_endpoint.LearnedEndpoint], start: int
    ) -> learned_endpoint.LearnedEndpoint | None:
        chosen = None
        for offset in range(min(len(tier), MAXIMUM_SCAN)):
            one = tier[(start + offset) % len(tier)]
            if self._admits(one):
                chosen = self._cheaper(chosen, one)
        return chosen

    def _admits(self, one: learned_endpoint.LearnedEndpoint) -> bool:
        if one.record.endpoint_id in self._excluded:
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
