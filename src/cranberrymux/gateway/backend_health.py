"""Health and load of the backend server beside this node, from its answers."""

import math

from cranberrymux.decisions.endpoints import backend_load
from cranberrymux.decisions.endpoints import failure_rate
from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.endpoints import slowness
from cranberrymux.decisions.endpoints import stall_detector
from cranberrymux.decisions.presence import announcement
from cranberrymux.gateway import hop
from cranberrymux.gateway import load_report
from cranberrymux.gateway import parts as parts_module
from cranberrymux.models import backend_process
from cranberrymux.models import load_figures
from cranberrymux.node.http import headers as headers_module

# Thresholds of the log lines only; nodes that send requests here choose
# endpoints by the reported failure rate and slowness themselves.
DEGRADED_FAILURE_RATE = 0.3
DEGRADED_SLOWNESS = 4.0
RECOVERED_RATIO = 0.5
# Age up to which the encoded speed is sent once more. In it the present
# slowness that the backend server names loses 7% of its weight.
SPEED_LIFETIME_S = 0.02
_DEGRADED_EXCESS = math.log(DEGRADED_SLOWNESS)
_RunOutcome = run_outcome.RunOutcome


class BackendHealth:
    """Failure rate, slowness, stalls and load of the backend server.

    Writes a log line whenever the backend server becomes degraded or recovers.

    Attributes:
        failing: Recent share of failed requests; failures that depended on a
            call to another service do not count.
    """

    def __init__(self, parts: parts_module.GatewayParts) -> None:
        """Starts without failures, slowness or a stall."""
        self._parts = parts
        self._process = backend_process.BackendProcess("", 0)
        self._is_degraded = False
        self._speed: headers_module.HeaderList = []
        self._speed_until_s = -math.inf
        self._speed_figures: tuple[int, float | None] = (0, None)
        self._reset()

    @property
    def failure_rate(self) -> float:
        """Present value of `failing`, 0 to 1."""
        return self.failing.at(self._parts.clock.now_s())

    @property
    def slowness(self) -> float:
        """Ratio of present to usual working times; at least 1.0."""
        return self._slowness.at(self._parts.clock.now_s())

    def note_announcement(self, received: announcement.Announcement) -> None:
        """Counts an announcement as activity; resets for a new process."""
        self._stall.note_activity()
        if received.process != self._process:
            self._process = received.process
            self._reset()

    def encode_report(
        self, now_s: float, requests: int
    ) -> headers_module.HeaderList:
        """Encodes the load report on the backend server.

        Args:
            now_s: Monotonic seconds.
            requests: Number of requests that run or wait.
        """
        if now_s >= self._speed_until_s:
            self._speed_until_s = now_s + SPEED_LIFETIME_S
            speed = self._load.get_speed(now_s)
            self._speed = (
                []
                if speed is None
                else [(hop.SPEED, load_report.encode_speed(speed))]
            )
        if self._load.surplus:
            requests += self._load.count_surplus(now_s)
        failing = self.failing
        failure_rate = failing.at(now_s) if failing.latest else 0.0
        is_slow = self._slowness.latest_excess > 0.0
        ratio = self._slowness.at(now_s) if is_slow else 1.0
        load = load_report.encode_load(requests, failure_rate, ratio)
        return [(hop.LOAD, load), *self._speed]

    def admits(self, now_s: float) -> bool:
        """True if a request may be sent: without a stall, or as a probe."""
        self.update_stall(now_s)
        return not self._stall.is_stalled or self._stall.admits(now_s)

    def update_stall(self, now_s: float) -> None:
        """Counts the answers that were expected since the last event."""
        self._stall.update(now_s, self._parts.running_requests.working)
        if (
            self._is_degraded
            or self._stall.is_stalled
            or self.failing.latest > DEGRADED_FAILURE_RATE
            or self._slowness.latest_excess > _DEGRADED_EXCESS
        ):
            self.log_transitions()

    def note_figures(
        self, figures: load_figures.LoadFigures, running: int
    ) -> None:
        """Stores what the backend server says of its load.

        Args:
            figures: What it says.
            running: Requests that it has got from this node and not ended.
        """
        self._load.note_figures(self._parts.clock.now_s(), figures, running)
        speed_figures = (figures.slots, figures.slowness)
        if speed_figures != self._speed_figures:
            self._speed_figures = speed_figures
            self._speed_until_s = -math.inf

    def note_work_time(
        self,
        now_s: float,
        route: str,
        worked_s: float,
        held_s: float,
        outcome: run_outcome.RunOutcome,
    ) -> None:
        """Records the working time of a request, after `update_stall`.

        Args:
            now_s: Monotonic seconds.
            route: Name of the request's route.
            worked_s: Seconds for which the request ran, without the time that
                it waited for calls of its own.
            held_s: Seconds for which it held its slot.
            outcome: How the run ended.
        """
        if outcome is _RunOutcome.UNANSWERED:
            self._load.note_abandoned(now_s)
            return
        self._stall.note_answer(worked_s)
        if outcome is _RunOutcome.SERVED:
            log_ratio = self._slowness.note(now_s, route, worked_s)
            self._load.note_served(now_s, worked_s, held_s, log_ratio)

    def describe(self) -> dict[str, float]:
        """Returns failure rate and slowness as fields of a log line."""
        return {
            "failing": round(self.failure_rate, 3),
            "slowness": round(self.slowness, 2),
        }

    def log_transitions(self) -> None:
        """Logs when the backend server becomes degraded or recovers."""
        # Hysteresis: recovery needs values clearly below the thresholds.
        ratio = RECOVERED_RATIO if self._is_degraded else 1.0
        is_degraded = (
            self._stall.is_stalled
            or self.failure_rate > ratio * DEGRADED_FAILURE_RATE
            or self.slowness > ratio * DEGRADED_SLOWNESS
        )
        if is_degraded == self._is_degraded:
            return
        self._is_degraded = is_degraded
        self._parts.events.info(
            "backend-degraded" if is_degraded else "backend-recovered",
            backend_id=self._process.backend_id,
            is_stalled=self._stall.is_stalled,
            **self.describe(),
        )

    def _reset(self) -> None:
        self.failing = failure_rate.FailureRate()
        self._slowness = slowness.Slowness()
        self._stall = stall_detector.StallDetector()
        self._load = backend_load.BackendLoad()
        self._speed_until_s = -math.inf
