"""A fake endpoint: slots, a bounded queue, a load that may lag or lie."""

import collections
import random
from typing import NamedTuple

from cranberrymux.models import endpoint_record


class Behaviour(NamedTuple):
    """How a fake endpoint runs calls.

    Attributes:
        mean_s: Mean time of a call; exponential.
        failing: True if it answers 5xx after a millisecond.
        slow_until_s: Until when calls take `slowness` times as long.
        slowness: The factor.
        told_load: Load that it always tells; None for the true one.
        load_lag_s: Age of the load that it tells.
    """

    mean_s: float = 0.01
    failing: bool = False
    slow_until_s: float = 0.0
    slowness: float = 1.0
    told_load: float | None = None
    load_lag_s: float = 0.0


class FakeCall(NamedTuple):
    """A call under way.

    Attributes:
        caller: Index of its caller.
        start_s: When it was sent.
        wire_s: Time on the wire, one way.
    """

    caller: int
    start_s: float
    wire_s: float


class FakeEndpoint:
    """Runs calls as its behaviour says.

    Attributes:
        record: Its record.
        behaviour: How it runs calls.
        busy: Slots in use.
        queue: Calls that wait.
    """

    def __init__(
        self, record: endpoint_record.EndpointRecord, behaviour: Behaviour
    ) -> None:
        """Starts idle."""
        self.record = record
        self.behaviour = behaviour
        self.busy = 0
        self.queue: collections.deque[FakeCall] = collections.deque()
        self._loads: collections.deque[tuple[float, float]] = collections.deque(
            [(0.0, 0.0)]
        )

    def load(self, now_s: float) -> float:
        """Answers the load endpoint."""
        behaviour = self.behaviour
        if behaviour.told_load is not None:
            return behaviour.told_load
        self._loads.append((now_s, self.busy / self.record.slots))
        while (
            len(self._loads) > 1
            and self._loads[1][0] <= now_s - behaviour.load_lag_s
        ):
            self._loads.popleft()
        return self._loads[0][1]

    def duration_s(self, now_s: float, generator: random.Random) -> float:
        """Draws how long a call takes in seconds."""
        behaviour = self.behaviour
        if behaviour.failing:
            return 0.001
        duration_s = generator.expovariate(1.0 / behaviour.mean_s)
        if now_s < behaviour.slow_until_s:
            duration_s *= behaviour.slowness
        return duration_s
