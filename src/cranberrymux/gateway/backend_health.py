"""How well the backend server beside this node does its work."""

from cranberrymux.decisions.endpoints import failure_rate
from cranberrymux.decisions.endpoints import run_outcome
from cranberrymux.decisions.endpoints import slowness
from cranberrymux.decisions.endpoints import stall_detector
from cranberrymux.decisions.presence import announcement
from cranberrymux.gateway import parts as parts_module

# For the lines only; callers weigh the figures themselves.
DEGRADED_FAILING = 0.3
DEGRADED_SLOWNESS = 4.0
RECOVERED_PART = 0.5
_RunOutcome = run_outcome.RunOutcome


class BackendHealth:
    """Failures, slowness and silence; a line tells of each turn."""

    def __init__(self, parts: parts_module.GatewayParts) -> None:
        """Starts well."""
        self._parts = parts
        self._life: tuple[str, int] = ("", 0)
        self._is_degraded = False
        self._forget()

    @property
    def failing(self) -> float:
        """Share of the requests that it failed by itself lately."""
        return self._failing.at(self._now_s)

    @property
    def slowness(self) -> float:
        """Ratio of its present to its usual working times."""
        return self._slowness.at(self._now_s)

    def backend_heard(self, said: announcement.Announcement) -> None:
        """Takes an announcement; another backend server starts well."""
        self._stall.note_activity()
        life = (said.backend_id, said.started_ms)
        if life != self._life:
            self._life = life
            self._forget()

    def admits(self) -> bool:
        """True if a request may be handed to it."""
        self._update_stall()
        return self._stall.admits(self._now_s)

    def note_outcome(self, is_failed: bool) -> None:
        """Takes note of a request that did not depend on a call."""
        self._failing.note(self._now_s, is_failed)

    def note_time(
        self, route: str, worked_s: float, end: run_outcome.RunOutcome
    ) -> None:
        """Takes the time of a request that is about to give its slot back."""
        self._update_stall()
        if end is not _RunOutcome.UNANSWERED:
            self._stall.note_answer(worked_s)
        if end is _RunOutcome.SERVED:
            self._slowness.note(self._now_s, route, worked_s)

    def describe(self) -> dict[str, float]:
        """Failures and slowness, for a log line."""
        return {
            "failing": round(self.failing, 3),
            "slowness": round(self.slowness, 2),
        }

    def check(self) -> None:
        """Writes a line if it turned bad or well again."""
        # What was degraded has to be clearly better to count as recovered.
        part = RECOVERED_PART if self._is_degraded else 1.0
        is_degraded = (
            self._stall.is_stalled
            or self.failing > part * DEGRADED_FAILING
            or self.slowness > part * DEGRADED_SLOWNESS
        )
        if is_degraded == self._is_degraded:
            return
        self._is_degraded = is_degraded
        self._parts.events.info(
            "backend-degraded" if is_degraded else "backend-recovered",
            backend_id=self._life[0],
            is_stalled=self._stall.is_stalled,
            **self.describe(),
        )

    @property
    def _now_s(self) -> float:
        return self._parts.clock.now_s()

    def _forget(self) -> None:
        self._failing = failure_rate.FailureRate()
        self._slowness = slowness.Slowness()
        self._stall = stall_detector.StallDetector()

    def _update_stall(self) -> None:
        self._stall.update(self._now_s, self._parts.running_requests.working)
        self.check()
