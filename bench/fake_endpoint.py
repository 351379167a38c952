"""Simulated endpoint whose reported load may be outdated or wrong."""

import collections
import random
from typing import NamedTuple

from cranberrymux.models import endpoint_record


class Behaviour(NamedTuple):
    """Call durations, failures and reported load of a simulated endpoint.

    Attributes:
        mean_duration_s: Mean of the exponentially distributed duration of a
            call.
        failing: True if each call ends after 1 ms with a 5xx answer.
        slow_until_s: Simulated time until which calls take `slowdown_factor`
            times as long.
        slowdown_factor: Factor of the duration, 1 or more.
        reported_load: Constant load to report, 0 to 1; None to report the share
            of slots in use.
        reported_load_age_s: Age of the share of slots in use that is reported.
    """

    mean_duration_s: float = 0.01
    failing: bool = False
    slow_until_s: float = 0.0
    slowdown_factor: float = 1.0
    reported_load: float | None = None
    reported_load_age_s: float = 0.0


class FakeCall(NamedTuple):
    """A call that was sent and not answered yet.

    Attributes:
        caller: Index of its caller.
        start_s: Simulated time at which it was sent.
        network_delay_s: One-way network delay between caller and endpoint.
    """

    caller: int
    start_s: float
    network_delay_s: float


class FakeEndpoint:
    """State of one simulated endpoint; the simulation runs its calls.

    Attributes:
        record: Directory record of the endpoint.
        behaviour: Durations, failures and reported load; may be replaced.
        busy_slots: Number of slots in use.
        queue: Calls that wait for a slot, oldest first.
    """

    def __init__(
        self, record: endpoint_record.EndpointRecord, behaviour: Behaviour
    ) -> None:
        """Creates an idle endpoint."""
        self.record = record
        self.behaviour = behaviour
        self.busy_slots = 0
        self.queue: collections.deque[FakeCall] = collections.deque()
        self._load_samples: collections.deque[tuple[float, float]] = (
            collections.deque([(0.0, 0.0)])
        )

    def report_load(self, now_s: float) -> float:
        """Returns the load that the endpoint reports, 0 to 1."""
        behaviour = self.behaviour
        if behaviour.reported_load is not None:
            return behaviour.reported_load
        self._load_samples.append((now_s, self.busy_slots / self.record.slots))
        while (
            len(self._load_samples) > 1
            and self._load_samples[1][0]
            <= now_s - behaviour.reported_load_age_s
        ):
            self._load_samples.popleft()
        return self._load_samples[0][1]

    def draw_duration_s(self, now_s: float, generator: random.Random) -> float:
        """Returns a random duration in seconds for a call that starts now."""
        behaviour = self.behaviour
        if behaviour.failing:
            return 0.001
        duration_s = generator.expovariate(1.0 / behaviour.mean_duration_s)
        if now_s < behaviour.slow_until_s:
            duration_s *= behaviour.slowdown_factor
        return duration_s
