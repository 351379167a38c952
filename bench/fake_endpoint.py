"""Simulated endpoint whose reported load may be outdated or wrong."""

import collections
import random
from typing import NamedTuple

from cranberrymux.models import endpoint_record


class Behaviour(NamedTuple):
    """Call durations, failures and reported load of a simulated endpoint.

    Attributes:
        mean_s: Mean of the exponentially distributed duration of a call.
        failing: True if each call ends after 1 ms with a 5xx answer.
        slow_until_s: Simulated time until which calls take `slowness` times
            as long.
        slowness: Factor of the duration, 1 or more.
        told_load: Constant load to report, 0 to 1; None to report the share
            of slots in use.
        load_lag_s: Age of the share of slots in use that is reported.
    """

    mean_s: float = 0.01
    failing: bool = False
    slow_until_s: float = 0.0
    slowness: float = 1.0
    told_load: float | None = None
    load_lag_s: float = 0.0


class FakeCall(NamedTuple):
    """A call that was sent and not answered yet.

    Attributes:
        caller: Index of its caller.
        start_s: Simulated time at which it was sent.
        wire_s: One-way network delay between caller and endpoint.
    """

    caller: int
    start_s: float
    wire_s: float


class FakeEndpoint:
    """State of one simulated endpoint; the simulation runs its calls.

    Attributes:
        record: Directory record of the endpoint.
        behaviour: Durations, failures and reported load; may be replaced.
        busy: Number of slots in use.
        queue: Calls that wait for a slot, oldest first.
    """

    def __init__(
        self, record: endpoint_record.EndpointRecord, behaviour: Behaviour
    ) -> None:
        """Creates an idle endpoint."""
        self.record = record
        self.behaviour = behaviour
        self.busy = 0
        self.queue: collections.deque[FakeCall] = collections.deque()
        self._load_samples: collections.deque[tuple[float, float]] = (
            collections.deque([(0.0, 0.0)])
        )

    def load(self, now_s: float) -> float:
        """Returns the load that the endpoint reports, 0 to 1."""
        behaviour = self.behaviour
        if behaviour.told_load is not None:
            return behaviour.told_load
        self._load_samples.append((now_s, self.busy / self.record.slots))
        while (
            len(self._load_samples) > 1
            and self._load_samples[1][0] <= now_s - behaviour.load_lag_s
        ):
            self._load_samples.popleft()
        return self._load_samples[0][1]

    def duration_s(self, now_s: float, generator: random.Random) -> float:
        """Returns a random duration in seconds for a call that starts now."""
        behaviour = self.behaviour
        if behaviour.failing:
            return 0.001
        duration_s = generator.expovariate(1.0 / behaviour.mean_s)
        if now_s < behaviour.slow_until_s:
            duration_s *= behaviour.slowness
        return duration_s
