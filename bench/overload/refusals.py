"""Refusals by a node whose backend server died or is down."""

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason

LOST = refusal.Refusal(
    answer_kind.AnswerKind.UNKNOWN,
    refusal_reason.RefusalReason.CONNECTION_LOST,
    "the backend server died",
    100,
)
DOWN = refusal.Refusal(
    answer_kind.AnswerKind.NOT_RUN,
    refusal_reason.RefusalReason.NOT_STARTED,
    "the backend server is down",
    100,
)
