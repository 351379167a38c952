"""What the caller is told of a call."""

from typing import NamedTuple

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason


class Conclusion(NamedTuple):
    """Kind of the answer, with the reason when a node makes it.

    Attributes:
        kind: What the caller may conclude.
        reason: Why a node makes the answer; None for a backend server's own.
    """

    kind: answer_kind.AnswerKind
    reason: refusal_reason.RefusalReason | None
