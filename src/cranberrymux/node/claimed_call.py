"""The claim of a call that may run at most once."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from cranberrymux.models import request_context
from cranberrymux.node import backend_refusal
from cranberrymux.node import body_digest
from cranberrymux.node import environment
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import inbound_call
from cranberrymux.wire.gen.messages import ttypes

_Kind = answer_kind.AnswerKind
_Reason = refusal_reason.RefusalReason
_Verdict = ttypes.ClaimVerdict
_MAXIMUM_STORED_BYTES = 65_536


class StoredAnswer(NamedTuple):
    """The answer of an earlier run of the same call.

    Attributes:
        status: HTTP status.
        body: Body; None if it was too long to be stored.
    """

    status: int
    body: bytes | None


ClaimResult = StoredAnswer | refusal.Refusal | None


class ClaimedCall:
    """Requests the claim of one call, then settles or releases it."""

    def __init__(
        self,
        node: environment.Environment,
        call: inbound_call.InboundCall,
        context: request_context.RequestContext,
    ) -> None:
        """Prepares the request for the claim; `claim` sends it.

        Args:
            node: Tasks and tables of the node.
            call: The call; its body is buffered completely.
            context: Context of the call.
        """
        self._node = node
        self._request = ttypes.ClaimRequest(
            request_id=context.request_id,
            call_id=context.call_id,
            body_digest=body_digest.compute_digest(call),
            owner=node.settings.node_id,
            owner_incarnation=node.endpoint.incarnation,
            principal=context.principal,
            # Nodes configured with the same seed draw the same numbers.
            claim_id=f"{node.settings.node_id}.{node.endpoint.incarnation}."
            f"{node.generator.getrandbits(64):016x}",
        )

    def claim(self, on_answer: Callable[[ClaimResult], None]) -> None:
        """Requests the claim.

        Args:
            on_answer: Called once: with None if the call may run now, else
                with the stored answer or a refusal.
        """

        async def claim_and_report() -> None:
            answer = await self._node.claims.claim(self._request)
            on_answer(self._make_result(answer))

        defer.ensureDeferred(claim_and_report())

    def settle(self, status: int, body: bytes | None) -> None:
        """Stores the answer of the call.

        Args:
            status: HTTP status.
            body: Body; None if it was too long to be buffered. A body above
                `_MAXIMUM_STORED_BYTES` is not stored either.
        """
        stored_body = body
        if body is not None and len(body) > _MAXIMUM_STORED_BYTES:
            stored_body = None
        self._node.claims.settle(self._request, status, stored_body)

    def settle_answer(self, head: answer_head.AnswerHead, body: bytes) -> None:
        """Stores a complete answer; releases the claim if that is not-run."""
        if backend_refusal.is_refusal(head):
            self.release()
        else:
            self.settle(head.status, body)

    def release(self) -> None:
        """Releases the claim; no byte was handed over and none will be."""
        self._node.claims.release(self._request)

    def _make_result(self, answer: Any) -> ClaimResult:
        verdict = answer.verdict
        if verdict == _Verdict.GRANTED:
            return None
        if verdict == _Verdict.SETTLED:
            return StoredAnswer(answer.status, answer.body)
        retry_after_ms = (
            answer.retry_after_ms or self._node.draw_retry_after_ms()
        )
        if verdict == _Verdict.RUNNING:
            return refusal.Refusal(
                _Kind.UNKNOWN,
                _Reason.ALREADY_RAN,
                f"the call runs at {answer.owner}; its answer will be stored",
                retry_after_ms,
            )
        if verdict == _Verdict.UNAVAILABLE:
            return refusal.Refusal(
                _Kind.NOT_RUN,
                _Reason.CLAIM_UNAVAILABLE,
                "no quorum of control instances granted the claim",
                retry_after_ms,
            )
        return _FINAL_REFUSALS[verdict]


def refuse_long_body(limit_bytes: int) -> refusal.Refusal:
    """Returns the refusal of a call whose body is not buffered completely.

    Args:
        limit_bytes: Length in bytes up to which bodies are buffered.
    """
    return refusal.Refusal(
        _Kind.NOT_RUN,
        _Reason.TOO_LARGE,
        "the body of a call that runs at most once is limited to "
        f"{limit_bytes} bytes",
    )


_FINAL_REFUSALS = {
    _Verdict.DIGEST_MISMATCH: refusal.Refusal(
        _Kind.NOT_RUN,
        _Reason.ID_REUSED,
        "the request id was used for another request or principal",
    ),
    # The claim of an earlier run may have been forgotten, so the outcome is
    # unknown.
    _Verdict.EXPIRED: refusal.Refusal(
        _Kind.UNKNOWN,
        _Reason.ID_EXPIRED,
        "the request id is too old, too far in the future or no UUIDv7",
    ),
    _Verdict.UNKNOWN_OUTCOME: refusal.Refusal(
        _Kind.UNKNOWN,
        _Reason.ALREADY_RAN,
        "the call may have run; it will not be run again",
    ),
}
