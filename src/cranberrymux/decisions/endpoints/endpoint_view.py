"""Load and failures of one endpoint as observed by one node."""

import math

from cranberrymux.decisions.endpoints import decaying_value
from cranberrymux.decisions.endpoints import failure_ejection
from cranberrymux.decisions.endpoints import failure_rate
from cranberrymux.decisions.endpoints import relative_time
from cranberrymux.decisions.endpoints import reported_load
from cranberrymux.decisions.endpoints import service_speed
from cranberrymux.decisions.rate_limits import known_rate_limit
from cranberrymux.decisions.rate_limits import sender_pace
from cranberrymux.models import backend_process
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_speed
from cranberrymux.models import endpoint_state

MINIMUM_SUSPENSION_S = 0.5
MAXIMUM_SUSPENSION_S = 4.0
TIMEOUTS_TO_SUSPEND = 3
# Failure rate that costs nothing: a single random failure does not exceed it.
TOLERATED_FAILURE_RATE = 0.1
FAILURE_COST = 3.0  # Cost of a failure rate of 1, in loads of all slots.
SLOWNESS_DECAY_TIME_S = 3.0  # Unrenewed slowness falls by e in this time.
TOLERATED_SLOWNESS = 2.5  # Working times vary by this ratio at random.
# Load added to that of a slow endpoint before it is multiplied by the excess
# slowness, so that an idle one has a cost, too.
SLOW_IDLE_LOAD = 0.3
REFUSAL_WEIGHT = 0.05  # Weight of one request in the mean share of refusals.
# An endpoint that refuses nearly all requests looks idle, and the others may
# have queues of more than a full load. From this share on it costs more.
HIGH_REFUSAL_RATE = 0.8
MAXIMUM_REFUSAL_COST = 3.0  # Full loads, if it refuses all.
_SERVING = endpoint_state.EndpointState.SERVING


class EndpointView:
    """Combines an endpoint's own reports with what this node has observed.

    Attributes:
        record: The newest record from the directory.
        relative_time: Time that a request takes there, compared with the other
            endpoints of its service.
        rate_limit: The rate limit that its backend server names.
        pace: Time from which it may be chosen again under that limit.
        outstanding: Number of requests that this node has sent to it and that
            have not ended.
        is_confirmed: False if a control instance reports another state for the
            same version of the record, as after the lease of the endpoint's
            node has expired there. The endpoint stays in use until it cannot
            be reached from this node either.
        is_unreachable: True if it has been unreachable since its last answer.
    """

    __slots__ = (
        "_ejection",
        "_observed_failure_rate",
        "_reported_failure_rate",
        "_reported_load",
        "_reported_slots",
        "_refusal_rate",
        "_timeouts",
        "_excess_slowness",
        "_leaving",
        "_suspended_until_s",
        "_suspension_s",
        "is_unreachable",
        "is_confirmed",
        "outstanding",
        "pace",
        "rate_limit",
        "record",
        "relative_time",
    )

    def __init__(
        self,
        record: endpoint_record.EndpointRecord,
        speed: service_speed.ServiceSpeed,
    ) -> None:
        """Starts without load, failures or suspension.

        Args:
            record: The newest record from the directory.
            speed: Usual working time at the endpoints of its service.
        """
        self.record = record
        self.relative_time = relative_time.RelativeTime(speed)
        self.rate_limit = known_rate_limit.KnownRateLimit()
        self.pace = sender_pace.SenderPace()
        self._leaving: backend_process.BackendProcess | None = None
        self.outstanding = 0
        self.is_confirmed = True
        self.is_unreachable = False
        self._reported_load = reported_load.ReportedLoad()
        self._reported_slots = 0
        self._refusal_rate = 0.0
        self._observed_failure_rate = failure_rate.FailureRate()
        self._reported_failure_rate = failure_rate.FailureRate()
        self._ejection = failure_ejection.FailureEjection()
        self._timeouts = 0
        self._excess_slowness = decaying_value.DecayingValue(
            SLOWNESS_DECAY_TIME_S
        )
        self._suspended_until_s = -math.inf
        self._suspension_s = MINIMUM_SUSPENSION_S

    def update(self, record: endpoint_record.EndpointRecord) -> bool:
        """Applies a newer record; forgets the limit of an ended process.

        Returns:
            True if a limit ended with its process.
        """
        was_limited = self.rate_limit.per_s is not None
        if not record.process.may_be(self.record.process):
            self.rate_limit = known_rate_limit.KnownRateLimit()
            self.pace = sender_pace.SenderPace()
            self.forget_speed()
        self.record = record
        if self.is_leaving and record.backend_started_ms:
            self._leaving = record.process
        return was_limited and self.rate_limit.per_s is None

    @property
    def is_usable(self) -> bool:
        """True if its record says serving and nothing shows it is down."""
        is_serving = self.record.state is _SERVING
        return (
            is_serving
            and (self._leaving is None or not self.is_leaving)
            and (self.is_confirmed or not self.is_unreachable)
        )

    @property
    def is_leaving(self) -> bool:
        """True if this process of its backend server has said that it leaves.

        No record takes that back: its node may have restarted since and know
        only an announcement that is older.
        """
        return self._leaving is not None and self._leaving.may_be(
            self.record.process
        )

    def has_room(self, now_s: float) -> bool:
        """True unless its rate limit leaves no room for this node at present.

        A limit that has ended gives room at once.
        """
        return self.rate_limit.per_s is None or self.pace.has_room(now_s)

    def takes_requests(self, now_s: float) -> bool:
        """True if it is usable with room, not suspended and not ejected."""
        return (
            now_s >= self._suspended_until_s
            and self.record.state is _SERVING
            and (self._leaving is None or not self.is_leaving)
            and (self.is_confirmed or not self.is_unreachable)
            and (self._ejection.until_s is None or not self.is_ejected(now_s))
            and (self.rate_limit.per_s is None or self.pace.has_room(now_s))
        )

    def cost(self, now_s: float) -> float:
        """Cost of one more request, in loads of all slots.

        It is the load, raised by slowness, lower for an endpoint that is faster
        than others and higher for a slower one, plus the share of requests
        that the backend server refuses, plus a penalty for its failure rate.
        """
        load = self.load(now_s)
        penalty = self.relative_time.penalty(now_s, load)
        # Values that decay do not exceed their latest one.
        if self._excess_slowness.latest > TOLERATED_SLOWNESS - 1.0:
            excess_slowness = self.slowness(now_s) / TOLERATED_SLOWNESS - 1.0
            if excess_slowness > 0.0:
                idle_penalty = excess_slowness * (load + SLOW_IDLE_LOAD)
                penalty = max(penalty, idle_penalty)
        excess_failure_rate = 0.0
        if self.is_failing(now_s):
            excess_failure_rate = (
                self.failure_rate(now_s) - TOLERATED_FAILURE_RATE
            )
        penalty += rate_refusals(self._refusal_rate)
        penalty += FAILURE_COST * excess_failure_rate
        return load + penalty

    def slowness(self, now_s: float) -> float:
        """Ratio of present to usual working times, from its node's reports.

        It falls back to 1.0, which is the usual, while no report comes.
        """
        return 1.0 + self._excess_slowness.at(now_s)

    def failure_rate(self, now_s: float) -> float:
        """Failure rate, 0 to 1: the higher of the one observed and reported.

        An endpoint may fail the requests of only some callers, so neither the
        rate observed by this node nor that reported by the endpoint's node is
        enough alone.
        """
        return max(
            self._observed_failure_rate.at(now_s),
            self._reported_failure_rate.at(now_s),
        )

    def load(self, now_s: float) -> float:
        """Estimated number of requests at the endpoint per slot.

        The requests outstanding from this node are the lower bound.
        """
        if self.relative_time.is_service_uneven:
            reported = self._reported_load.expected(now_s)
        else:
            reported = self._reported_load.at(now_s)
        slots = self.record.slots
        if 0 < self._reported_slots < slots:
            slots = self._reported_slots
        reported = max(reported, self.outstanding)
        return reported / max(slots, 1)

    def is_failing(self, now_s: float) -> bool:
        """True if its failure rate exceeds `TOLERATED_FAILURE_RATE`."""
        # Values that decay do not exceed their latest one.
        return (
            self._observed_failure_rate.latest > TOLERATED_FAILURE_RATE
            or self._reported_failure_rate.latest > TOLERATED_FAILURE_RATE
        ) and self.failure_rate(now_s) > TOLERATED_FAILURE_RATE

    def is_suspended(self, now_s: float) -> bool:
        """True while it gets no requests unless all others are suspended."""
        return now_s < self._suspended_until_s

    def is_ejected(self, now_s: float) -> bool:
        """True while it gets no requests, as it fails most of them.

        It gets them if no other endpoint can take a request.
        """
        return self._ejection.is_ejected(now_s, self.outstanding)

    def note_reported_load(self, now_s: float, requests: int) -> None:
        """Stores the number of requests that its node reports.

        Args:
            now_s: Monotonic time in seconds.
            requests: Requests that run or wait at the endpoint.
        """
        self._reported_load.note(now_s, requests)

    def note_reported_speed(
        self, now_s: float, speed: endpoint_speed.EndpointSpeed
    ) -> None:
        """Stores the speed that its node reports."""
        self.relative_time.note(now_s, speed)
        self._reported_slots = speed.slots

    def forget_speed(self) -> None:
        """Forgets the speed, as that of another or an ended process."""
        self.relative_time.forget()
        self._reported_slots = 0

    def note_acceptance(self, is_accepted: bool) -> None:
        """Counts a request as run or as refused by the backend server.

        Args:
            is_accepted: False if the backend server refused the request.
        """
        refused = 0.0 if is_accepted else 1.0
        self._refusal_rate += REFUSAL_WEIGHT * (refused - self._refusal_rate)

    def note_outcome(self, now_s: float, is_failed: bool) -> None:
        """Counts a request of this node that it ran in the failure rate.

        Args:
            now_s: Monotonic time in seconds.
            is_failed: True if the endpoint itself failed the request; False
                if a call made by the request failed it.
        """
        self._observed_failure_rate.note(now_s, is_failed)
        if is_failed or self._ejection.until_s is not None:
            self._ejection.note_rate(now_s, self.failure_rate(now_s))

    def note_reported_failure_rate(self, now_s: float, rate: float) -> None:
        """Stores the failure rate, 0 to 1, that its node reports."""
        self._reported_failure_rate.latest = rate
        self._reported_failure_rate.set_at_s = now_s
        if rate > failure_ejection.EJECTION_FAILURE_RATE:
            self._ejection.note_rate(now_s, rate)

    def note_reported_slowness(self, now_s: float, slowness: float) -> None:
        """Stores the ratio of present to usual working times, reported."""
        self._excess_slowness.latest = slowness - 1.0
        self._excess_slowness.set_at_s = now_s

    def note_leaving(self, started_ms: int) -> bool:
        """Records that its backend server has said that it is leaving.

        Args:
            started_ms: Start time of the process that said so, in Unix
                milliseconds; 0 if it is not known.

        Returns:
            True if that was not known.
        """
        process = backend_process.BackendProcess(
            self.record.backend_id,
            started_ms or self.record.backend_started_ms,
        )
        if process == self._leaving:
            return False
        self._leaving = process
        return True

    def note_answer(self) -> None:
        """Ends its suspension and resets what counts towards the next one."""
        self.is_unreachable = False
        self._timeouts = 0
        self._suspension_s = MINIMUM_SUSPENSION_S
        self._suspended_until_s = -math.inf

    def note_unreachable(self, now_s: float) -> None:
        """Suspends it, each time for twice as long, until it answers."""
        self.is_unreachable = True
        if self.is_suspended(now_s):
            return
        self._suspended_until_s = now_s + self._suspension_s
        self._suspension_s = min(2 * self._suspension_s, MAXIMUM_SUSPENSION_S)

    def note_timeout(self, now_s: float) -> None:
        """Counts a request that timed out; several in a row suspend it."""
        self._timeouts += 1
        if self._timeouts >= TIMEOUTS_TO_SUSPEND:
            self._timeouts = 0
            self.note_unreachable(now_s)

    def note_not_serving(self, now_s: float) -> None:
        """Suspends it for the shortest time: it takes no requests at present.

        Unlike `note_unreachable`, this does not lengthen the next suspension.
        """
        self._suspended_until_s = max(
            self._suspended_until_s, now_s + MINIMUM_SUSPENSION_S
        )


def rate_refusals(refusal_rate: float) -> float:
    """Returns the cost, in full loads, of the share that is refused."""
    excess = max(refusal_rate - HIGH_REFUSAL_RATE, 0.0)
    slope = (MAXIMUM_REFUSAL_COST - 1.0) / (1.0 - HIGH_REFUSAL_RATE)
    return refusal_rate + slope * excess
