"""An attempt that ended, as the question whether to try again."""

from typing import NamedTuple

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context


class EndedAttempt(NamedTuple):
    """What is known when an attempt has ended.

    Attributes:
        context: Context of the attempt.
        kind: What may be concluded from its answer.
        reason: Why a node made the answer; None if a backend server did.
        timeout_left_ms: Time left until the caller stops waiting.
        has_parent: True if the call came with a context of its parent.
        budget_left: What remains in the parent's ledger.
        edge_has_retry: True if the service's bucket has a retry.
        overload_refusals: Endpoints that refused this call for overload, the
            last included.
    """

    context: request_context.RequestContext
    kind: answer_kind.AnswerKind
    reason: refusal_reason.RefusalReason | None
    timeout_left_ms: float
    has_parent: bool
    budget_left: int
    edge_has_retry: bool
    overload_refusals: int = 0
