"""What one node knows of one endpoint."""

import math

from cranberrymux.decisions.endpoints import fading_value
from cranberrymux.decisions.endpoints import failure_rate
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

REPORT_LIFE_S = 0.5  # What an endpoint said of its load fades over this time.
FIRST_SUSPENSION_S = 0.5
LONGEST_SUSPENSION_S = 4.0
SILENCES_TO_SUSPEND = 3
# Share of failures that is not held against an endpoint: one by chance.
TOLERATED_FAILING = 0.1
FAILING_COST = 3.0  # Cost of failing every request, in loads of all slots.
SLOWNESS_FADE_S = 3.0  # Time in which slowness that is not renewed fades by e.
TOLERATED_SLOWNESS = 2.5  # Working times vary by so much by chance.
IDLE_COST = 0.3  # Cost of an idle endpoint for each time that it is slower.
REFUSING_WEIGHT = 0.05  # Weight of one request in the share that is refused.


class EndpointView:
    """Load and failures of an endpoint as its callers see them.

    Attributes:
        record: The newest record from the directory.
        outstanding: Requests of this node that it has not answered.
        is_vouched: False if a control instance has lost touch with its node.
            It is used on until it fails here, too.
        has_failed: True if it could not be reached since its last answer.
    """

    __slots__ = (
        "_failing",
        "_failing_there",
        "_reported",
        "_reported_s",
        "_refusing",
        "_silences",
        "_slower",
        "_suspended_until_s",
        "_suspension_s",
        "has_failed",
        "is_vouched",
        "outstanding",
        "record",
    )

    def __init__(self, record: endpoint_record.EndpointRecord) -> None:
        """Starts without load."""
        self.record = record
        self.outstanding = 0
        self.is_vouched = True
        self.has_failed = False
        self._reported = 0.0
        self._reported_s = -math.inf
        self._refusing = 0.0
        self._failing = failure_rate.FailureRate()
        self._failing_there = failure_rate.FailureRate()
        self._silences = 0
        self._slower = fading_value.FadingValue(SLOWNESS_FADE_S)
        self._suspended_until_s = -math.inf
        self._suspension_s = FIRST_SUSPENSION_S

    @property
    def is_usable(self) -> bool:
        """True if it serves, by its node's last word, and may be reached."""
        is_serving = self.record.state is endpoint_state.EndpointState.SERVING
        return is_serving and (self.is_vouched or not self.has_failed)

    def cost(self, now_s: float) -> float:
        """Load for its speed, and the shares that it refuses and fails."""
        failing = max(0.0, self.failing(now_s) - TOLERATED_FAILING)
        slower = max(0.0, self.slowness(now_s) / TOLERATED_SLOWNESS - 1.0)
        load = self.load(now_s)
        load += slower * (load + IDLE_COST)
        return load + self._refusing + FAILING_COST * failing

    def slowness(self, now_s: float) -> float:
        """Ratio of its present to its usual working times, by its node."""
        return 1.0 + self._slower.at(now_s)

    def failing(self, now_s: float) -> float:
        """Share of requests that it fails, as seen from here or there.

        An endpoint may fail only some of its callers, so neither view is
        enough.
        """
        return max(self._failing.at(now_s), self._failing_there.at(now_s))

    def load(self, now_s: float) -> float:
        """Estimate of requests there for each of its slots."""
        age_s = now_s - self._reported_s
        reported = 0.0
        if age_s < REPORT_LIFE_S:
            reported = self._reported * (1.0 - age_s / REPORT_LIFE_S)
        slots = max(self.record.slots, 1)
        return max(reported, self.outstanding) / slots

    def is_failing(self, now_s: float) -> bool:
        """True if it fails more than some by chance."""
        return self.failing(now_s) > TOLERATED_FAILING

    def is_suspended(self, now_s: float) -> bool:
        """True while requests are kept away from it."""
        return now_s < self._suspended_until_s

    def note_load(self, now_s: float, requests: int) -> None:
        """Takes the requests that run and wait there, by its own word."""
        self._reported = requests
        self._reported_s = now_s

    def note_run(self, is_run: bool) -> None:
        """Takes note whether the backend server ran what it was handed."""
        refused = 0.0 if is_run else 1.0
        self._refusing += REFUSING_WEIGHT * (refused - self._refusing)

    def note_outcome(self, now_s: float, is_failed: bool) -> None:
        """Takes note of a request that it ran for this node.

        Args:
            now_s: Present time.
            is_failed: True if it failed the request by itself, and not
                because of a call that the request made.
        """
        self._failing.note(now_s, is_failed)

    def note_failing(self, now_s: float, rate: float) -> None:
        """Takes the share of requests that it fails, counted at its node."""
        self._failing_there.take(now_s, rate)

    def note_slowness(self, now_s: float, slowness: float) -> None:
        """Takes the ratio of its present to its usual working times."""
        self._slower.set(now_s, slowness - 1.0)

    def note_answer(self) -> None:
        """Takes note that it answers."""
        self.has_failed = False
        self._silences = 0
        self._suspension_s = FIRST_SUSPENSION_S
        self._suspended_until_s = -math.inf

    def note_unreachable(self, now_s: float) -> None:
        """Keeps away for a while, twice as long each time."""
        self.has_failed = True
        if self.is_suspended(now_s):
            return
        self._suspended_until_s = now_s + self._suspension_s
        self._suspension_s = min(2 * self._suspension_s, LONGEST_SUSPENSION_S)

    def note_silence(self, now_s: float) -> None:
        """Takes note of a request that ended with no answer."""
        self._silences += 1
        if self._silences >= SILENCES_TO_SUSPEND:
            self._silences = 0
            self.note_unreachable(now_s)

    def note_away(self, now_s: float) -> None:
        """Takes note that it said it takes no work at present."""
        self._suspended_until_s = max(
            self._suspended_until_s, now_s + FIRST_SUSPENSION_S
        )
