"""Builds refusals with a reason and a retry delay."""

import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import retry_after
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

_DETAILS = {
    refusal_reason.RefusalReason.OVERLOADED: "endpoint is overloaded",
    refusal_reason.RefusalReason.QUEUE_FULL: "admission queue is full",
    refusal_reason.RefusalReason.DEADLINE_EXPIRED: "deadline has passed",
}


class RefusalBuilder:
    """Builds refusals of calls that were not run."""

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        generator: random.Random,
    ) -> None:
        """Keeps the bounds of the retry delay and the source of jitter."""
        self._minimum_ms = settings.minimum_retry_after_ms
        self._retry_after = retry_after.RetryAfter(settings, generator)

    def build(
        self,
        now_s: float,
        reason: refusal_reason.RefusalReason,
        capacity_per_s: float,
    ) -> refusal.Refusal:
        """Returns a refusal with a delay that depends on the capacity.

        Args:
            now_s: Monotonic seconds.
            reason: Why the call is refused.
            capacity_per_s: Calls that the endpoint can finish per second.
        """
        if reason is refusal_reason.RefusalReason.DRAINING:
            return self.build_draining()
        return refusal.Refusal(
            answer_kind.AnswerKind.NOT_RUN,
            reason,
            _DETAILS[reason],
            self._retry_after.draw_ms(now_s, capacity_per_s),
        )

    def build_draining(self) -> refusal.Refusal:
        """Returns a refusal with the minimum delay; others may serve."""
        return refusal.Refusal(
            answer_kind.AnswerKind.NOT_RUN,
            refusal_reason.RefusalReason.DRAINING,
            "backend server is draining",
            self._minimum_ms,
        )
