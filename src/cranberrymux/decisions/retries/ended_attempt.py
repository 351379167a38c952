"""Input of the retry decision: an attempt that has ended."""

from typing import NamedTuple

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context


class EndedAttempt(NamedTuple):
    """Facts about an ended attempt on which the retry decision rests.

    Attributes:
        context: Context of the attempt.
        kind: Whether the call ran, as concluded from its answer.
        reason: Why a node answered instead of a backend server; None if the
            answer is a backend server's.
        timeout_left_ms: Milliseconds left until the caller stops waiting.
        has_parent: True if the call carried the context of its parent call.
        budget_left: Retries that remain in the parent's `BudgetLedger`.
        edge_has_retry: True if the service's `EdgeBucket` has a retry.
        overload_refusals: Endpoints that refused this call for overload, the
            last one included.
    """

    context: request_context.RequestContext
    kind: answer_kind.AnswerKind
    reason: refusal_reason.RefusalReason | None
    timeout_left_ms: float
    has_parent: bool
    budget_left: int
    edge_has_retry: bool
    overload_refusals: int = 0
