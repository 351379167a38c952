"""Expected seconds of a request at an endpoint of a given cost."""

import math
from typing import Protocol

from cranberrymux.decisions.zones import endpoint_cost

# Typical seconds of a request, until answers have told them.
DEFAULT_WORK_S = 0.05
ANSWER_WEIGHT = 0.02  # Weight of one answer in the mean.
# What other callers send between a load report and the arrival of a request
# changes the load by about this share of the square root of the slots.
LOAD_SPREAD = 0.5
_ROOT_OF_TAU = math.sqrt(math.tau)


class CostTime(Protocol):
    """Converts the costs of a service's endpoints to seconds."""

    def note_answer(
        self, answer_s: float, endpoint: endpoint_cost.EndpointCost
    ) -> None:
        """Learns from an answer.

        Args:
            answer_s: Seconds from sending the request to its answer.
            endpoint: The endpoint, with its cost at that time.
        """

    def expected_s(self, endpoint: endpoint_cost.EndpointCost) -> float:
        """Returns the seconds that one more request is expected to take."""


class LoadTime:
    """Converts costs in loads of all slots.

    A request waits only if the load at its arrival leaves no free slot. Loads
    that are well below one therefore differ by no time.
    """

    def __init__(self) -> None:
        """Starts with the default of the working time."""
        self._work_s = DEFAULT_WORK_S
        self._answers = 0

    def note_answer(
        self, answer_s: float, endpoint: endpoint_cost.EndpointCost
    ) -> None:
        """Learns the typical working time, without the wait."""
        self._answers += 1
        work_s = answer_s / _expected_ratio(endpoint)
        weight = max(1.0 / self._answers, ANSWER_WEIGHT)
        self._work_s += weight * (work_s - self._work_s)

    def expected_s(self, endpoint: endpoint_cost.EndpointCost) -> float:
        """Returns the working time and the expected wait."""
        return self._work_s * _expected_ratio(endpoint)


def _expected_ratio(endpoint: endpoint_cost.EndpointCost) -> float:
    """Returns the expected time as a multiple of the working time.

    The number of requests there at arrival is taken as normally distributed
    around the one that the cost tells; each beyond the slots is one that
    has to end first.
    """
    slots = max(endpoint.slots, 1)
    excess = endpoint.cost * slots - slots + 1.0
    spread = LOAD_SPREAD * math.sqrt(slots)
    ratio = excess / spread
    density = math.exp(-0.5 * ratio * ratio) / _ROOT_OF_TAU
    below = 0.5 * (1.0 + math.erf(ratio / math.sqrt(2.0)))
    waiting = spread * density + excess * below
    return 1.0 + waiting / slots
