"""An answer that a node makes itself."""

from typing import NamedTuple

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason


class Refusal(NamedTuple):
    """A sentinel value with its reason, in place of an exception.

    Attributes:
        kind: `NOT_RUN` or `UNKNOWN`.
        reason: Why the node made the answer.
        detail: One line for people.
        retry_after_ms: When the caller may come back; 0 for never.
    """

    kind: answer_kind.AnswerKind
    reason: refusal_reason.RefusalReason
    detail: str
    retry_after_ms: int = 0
