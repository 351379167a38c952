"""Makes refusals with a time to come back."""

import random

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import retry_after
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

_DETAILS = {
    refusal_reason.RefusalReason.OVERLOADED: "shed by priority",
    refusal_reason.RefusalReason.QUEUE_FULL: "queue is full",
    refusal_reason.RefusalReason.DEADLINE_EXPIRED: "deadline has passed",
}


class Refuser:
    """Refuses as not run."""

    def __init__(
        self,
        settings: admission_settings.AdmissionSettings,
        generator: random.Random,
    ) -> None:
        """Keeps the settings and the source of jitter."""
        self._minimum_ms = settings.minimum_retry_after_ms
        self._retry_after = retry_after.RetryAfter(settings, generator)

    def refuse(
        self,
        now_s: float,
        reason: refusal_reason.RefusalReason,
        capacity_per_s: float,
    ) -> refusal.Refusal:
        """Refuses for lack of capacity."""
        return refusal.Refusal(
            answer_kind.AnswerKind.NOT_RUN,
            reason,
            _DETAILS[reason],
            self._retry_after.draw_ms(now_s, capacity_per_s),
        )

    def refuse_draining(self) -> refusal.Refusal:
        """Refuses because the backend server leaves; others may serve."""
        return refusal.Refusal(
            answer_kind.AnswerKind.NOT_RUN,
            refusal_reason.RefusalReason.DRAINING,
            "backend server is leaving",
            self._minimum_ms,
        )
