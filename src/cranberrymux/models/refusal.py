"""Answers that a node generates instead of a backend server."""

from typing import NamedTuple

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason


class Refusal(NamedTuple):
    """A refused or lost call, returned in place of an exception.

    Attributes:
        kind: `NOT_RUN` or `UNKNOWN`.
        reason: Why the node generated the answer.
        detail: One-line description for people.
        retry_after_ms: Delay in milliseconds after which the caller may retry;
            0 if it must not retry.
    """

    kind: answer_kind.AnswerKind
    reason: refusal_reason.RefusalReason
    detail: str
    retry_after_ms: int = 0
