"""How often one node chooses a rate-limited endpoint while others have room.

Guards against many nodes that all send to the same endpoint, which its node
then has to refuse: each node takes an equal share of the limit.
"""

import math
import random

from cranberrymux.decisions.rate_limits import token_bucket

# Random factor of the time between two requests, so that nodes which learn of
# a limit together do not send together.
MINIMUM_SPACING_RATIO = 0.5
MAXIMUM_SPACING_RATIO = 1.5
# A node learns that a limit has ended only from an answer, so that it sends a
# request at least so often.
MAXIMUM_SPACING_S = 4.0


class SenderPace:
    """The time from which a node may choose a rate-limited endpoint again."""

    __slots__ = ("_room_from_s",)

    def __init__(self) -> None:
        """Starts with room."""
        self._room_from_s = -math.inf

    def has_room(self, now_s: float) -> bool:
        """Returns whether the endpoint may be chosen before all others."""
        return now_s >= self._room_from_s

    def note_sent(
        self,
        now_s: float,
        per_s: float,
        node_count: int,
        generator: random.Random,
    ) -> None:
        """Records that a request is sent to the endpoint.

        Args:
            now_s: Monotonic seconds.
            per_s: Its rate limit, requests a second.
            node_count: Number of nodes that share the limit.
            generator: Random number generator.
        """
        spacing_s = node_count / max(per_s, token_bucket.MINIMUM_PER_S)
        spacing_s *= generator.uniform(
            MINIMUM_SPACING_RATIO, MAXIMUM_SPACING_RATIO
        )
        self._room_from_s = now_s + min(spacing_s, MAXIMUM_SPACING_S)

    def note_wait(self, now_s: float, wait_s: float) -> None:
        """Records the time until the endpoint's node could start one more."""
        wait_s = min(wait_s, MAXIMUM_SPACING_S)
        self._room_from_s = max(self._room_from_s, now_s + wait_s)
