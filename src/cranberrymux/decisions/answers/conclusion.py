"""The outcome of a call as reported to its caller."""

from typing import NamedTuple

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason


class Conclusion(NamedTuple):
    """Kind of an answer, and its reason if a node makes the answer.

    Attributes:
        kind: What the caller may conclude from the answer.
        reason: Why a node makes the answer; None for the answer of a backend
            server.
    """

    kind: answer_kind.AnswerKind
    reason: refusal_reason.RefusalReason | None
