"""Load and failures of one endpoint as observed by one node."""

import math

from cranberrymux.decisions.endpoints import decaying_value
from cranberrymux.decisions.endpoints import failure_rate
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

REPORT_LIFE_S = 0.5  # Age at which a load report has lost all its weight.
FIRST_SUSPENSION_S = 0.5
LONGEST_SUSPENSION_S = 4.0
SILENCES_TO_SUSPEND = 3
# Failure rate that costs nothing: a single random failure does not exceed it.
TOLERATED_FAILING = 0.1
FAILING_COST = 3.0  # Cost of a failure rate of 1, in loads of all slots.
SLOWNESS_DECAY_TIME_S = (
    3.0  # Time in which unrenewed slowness falls by a factor e.
)
TOLERATED_SLOWNESS = 2.5  # Working times vary by this ratio at random.
# Load added to that of a slow endpoint before it is multiplied by the excess
# slowness, so that an idle one has a cost, too.
IDLE_COST = 0.3
REFUSING_WEIGHT = 0.05  # Weight of one request in the mean share of refusals.


class EndpointView:
    """Combines an endpoint's own reports with what this node has observed.

    Attributes:
        record: The newest record from the directory.
        outstanding: Number of requests that this node has sent to it and that
            have not ended.
        is_vouched: False if a control instance reports another state for the
            same version of the record, as after the lease of the endpoint's
            node has expired there. The endpoint stays in use until it cannot
            be reached from this node either.
        has_failed: True if it has been unreachable since its last answer.
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
        """Starts without load, failures or suspension."""
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
        self._slower = decaying_value.DecayingValue(SLOWNESS_DECAY_TIME_S)
        self._suspended_until_s = -math.inf
        self._suspension_s = FIRST_SUSPENSION_S

    @property
    def is_usable(self) -> bool:
        """True if its record says serving and nothing shows it is down."""
        is_serving = self.record.state is endpoint_state.EndpointState.SERVING
        return is_serving and (self.is_vouched or not self.has_failed)

    def cost(self, now_s: float) -> float:
        """Cost of one more request, in loads of all slots.

        It is the load, raised by slowness, plus the share of requests that
        the backend server refuses, plus a penalty for its failure rate.
        """
        failing = max(0.0, self.failing(now_s) - TOLERATED_FAILING)
        slower = max(0.0, self.slowness(now_s) / TOLERATED_SLOWNESS - 1.0)
        load = self.load(now_s)
        load += slower * (load + IDLE_COST)
        return load + self._refusing + FAILING_COST * failing

    def slowness(self, now_s: float) -> float:
        """Ratio of present to usual working times, from its node's reports.

        It falls back to 1.0, which is the usual, while no report comes.
        """
        return 1.0 + self._slower.at(now_s)

    def failing(self, now_s: float) -> float:
        """Failure rate, 0 to 1: the higher of the one observed and reported.

        An endpoint may fail the requests of only some callers, so neither the
        rate observed by this node nor that reported by the endpoint's node is
        enough alone.
        """
        return max(self._failing.at(now_s), self._failing_there.at(now_s))

    def load(self, now_s: float) -> float:
        """Estimated number of requests at the endpoint per slot.

        The last report loses weight linearly over `REPORT_LIFE_S`; the
        requests outstanding from this node are the lower bound.
        """
        age_s = now_s - self._reported_s
        reported = 0.0
        if age_s < REPORT_LIFE_S:
            reported = self._reported * (1.0 - age_s / REPORT_LIFE_S)
        slots = max(self.record.slots, 1)
        return max(reported, self.outstanding) / slots

    def is_failing(self, now_s: float) -> bool:
        """True if its failure rate exceeds `TOLERATED_FAILING`."""
        return self.failing(now_s) > TOLERATED_FAILING

    def is_suspended(self, now_s: float) -> bool:
        """True while it gets no requests unless all others are suspended."""
        return now_s < self._suspended_until_s

    def note_load(self, now_s: float, requests: int) -> None:
        """Stores the number of requests that its node reports.

        Args:
            now_s: Monotonic time in seconds.
            requests: Requests that run or wait at the endpoint.
        """
        self._reported = requests
        self._reported_s = now_s

    def note_run(self, is_run: bool) -> None:
        """Counts a request as run or as refused by the backend server.

        Args:
            is_run: False if the backend server refused the request.
        """
        refused = 0.0 if is_run else 1.0
        self._refusing += REFUSING_WEIGHT * (refused - self._refusing)

    def note_outcome(self, now_s: float, is_failed: bool) -> None:
        """Counts a request of this node that it ran in the failure rate.

        Args:
            now_s: Monotonic time in seconds.
            is_failed: True if the endpoint itself failed the request; False
                if a call made by the request failed it.
        """
        self._failing.note(now_s, is_failed)

    def note_failing(self, now_s: float, rate: float) -> None:
        """Stores the failure rate, 0 to 1, that its node reports."""
        self._failing_there.take(now_s, rate)

    def note_slowness(self, now_s: float, slowness: float) -> None:
        """Stores the ratio of present to usual working times, reported."""
        self._slower.set(now_s, slowness - 1.0)

    def note_answer(self) -> None:
        """Ends its suspension and resets what counts towards the next one."""
        self.has_failed = False
        self._silences = 0
        self._suspension_s = FIRST_SUSPENSION_S
        self._suspended_until_s = -math.inf

    def note_unreachable(self, now_s: float) -> None:
        """Suspends it, each time for twice as long, until it answers."""
        self.has_failed = True
        if self.is_suspended(now_s):
            return
        self._suspended_until_s = now_s + self._suspension_s
        self._suspension_s = min(2 * self._suspension_s, LONGEST_SUSPENSION_S)

    def note_silence(self, now_s: float) -> None:
        """Counts a request that timed out; several in a row suspend it."""
        self._silences += 1
        if self._silences >= SILENCES_TO_SUSPEND:
            self._silences = 0
            self.note_unreachable(now_s)

    def note_away(self, now_s: float) -> None:
        """Suspends it for the shortest time: it takes no requests at present.

        Unlike `note_unreachable`, this does not lengthen the next suspension.
        """
        self._suspended_until_s = max(
            self._suspended_until_s, now_s + FIRST_SUSPENSION_S
        )
