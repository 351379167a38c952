"""Turns wire messages into the types of the decisions and back."""

from typing import Any

from cranberrymux.decisions.claims import claim
from cranberrymux.decisions.claims import claim_answer
from cranberrymux.decisions.claims import claim_verdict
from cranberrymux.decisions.claims import settlement
from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_answer
from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.wire.gen.messages import ttypes

_CHANGE_VERDICTS = {
    change_verdict.ChangeVerdict.ACCEPTED: ttypes.ChangeVerdict.ACCEPTED,
    change_verdict.ChangeVerdict.CONFLICT: ttypes.ChangeVerdict.CONFLICT,
    change_verdict.ChangeVerdict.INVALID: ttypes.ChangeVerdict.INVALID,
}
_CHANGE_VERDICTS_BACK = {
    number: verdict for verdict, number in _CHANGE_VERDICTS.items()
}
_CLAIM_VERDICTS = {
    claim_verdict.ClaimVerdict.GRANTED: ttypes.ClaimVerdict.GRANTED,
    claim_verdict.ClaimVerdict.RUNNING: ttypes.ClaimVerdict.RUNNING,
    claim_verdict.ClaimVerdict.SETTLED: ttypes.ClaimVerdict.SETTLED,
    claim_verdict.ClaimVerdict.DIGEST_MISMATCH: (
        ttypes.ClaimVerdict.DIGEST_MISMATCH
    ),
    claim_verdict.ClaimVerdict.EXPIRED: ttypes.ClaimVerdict.EXPIRED,
    claim_verdict.ClaimVerdict.UNAVAILABLE: ttypes.ClaimVerdict.UNAVAILABLE,
    claim_verdict.ClaimVerdict.UNKNOWN_OUTCOME: (
        ttypes.ClaimVerdict.UNKNOWN_OUTCOME
    ),
}

VERDICT_NAMES = {
    number: name.lower().replace("_", "-")
    for number, name in ttypes.ClaimVerdict._VALUES_TO_NAMES.items()
}
UNAVAILABLE_RETRY_MS = 1000


def encode_change(asked: change.Change) -> Any:
    """Returns the `ChangeRequest` of a change."""
    return ttypes.ChangeRequest(
        change_id=asked.change_id,
        base_version=asked.base_version,
        author=asked.author,
        document=asked.document,
        rollback_of=asked.rollback_of or None,
    )


def decode_change(message: Any) -> change.Change:
    """Returns the change of a `ChangeRequest`."""
    return change.Change(
        message.change_id,
        message.base_version,
        message.author,
        message.document,
        message.rollback_of or 0,
    )


def encode_change_answer(answer: change_answer.ChangeAnswer) -> Any:
    """Returns the `ChangeAnswer` message of an answer."""
    record = answer.record
    message = None
    if record is not None:
        fields = record._asdict()
        fields["rollback_of"] = record.rollback_of or None
        message = ttypes.ChangeRecord(**fields)
    return ttypes.ChangeAnswer(
        verdict=_CHANGE_VERDICTS[answer.verdict],
        record=message,
        detail=answer.detail,
    )


def decode_change_answer(message: Any) -> change_answer.ChangeAnswer:
    """Returns the answer of a `ChangeAnswer` message."""
    record = None
    if message.record is not None:
        record = change_record.ChangeRecord(
            message.record.version,
            message.record.base_version,
            message.record.change_id,
            message.record.author,
            message.record.at_ms,
            message.record.difference,
            message.record.rollback_of or 0,
        )
    verdict = _CHANGE_VERDICTS_BACK[message.verdict]
    return change_answer.ChangeAnswer(verdict, record, message.detail)


def decode_claim(message: Any) -> claim.Claim:
    """Returns the claim of a `ClaimRequest`."""
    return claim.Claim(
        message.request_id,
        message.call_id,
        message.body_digest,
        message.owner,
        message.owner_incarnation,
        message.principal,
        message.claim_id or "",
    )


def decode_settle(message: Any) -> settlement.Settlement:
    """Returns the settlement of a `SettleRequest`."""
    return settlement.Settlement(
        message.request_id,
        message.call_id,
        message.owner,
        message.owner_incarnation,
        message.claim_id or "",
        message.status,
        message.body,
    )


def encode_claim_answer(answer: claim_answer.ClaimAnswer) -> Any:
    """Returns the `ClaimAnswer` message of an answer."""
    return ttypes.ClaimAnswer(
        verdict=_CLAIM_VERDICTS[answer.verdict],
        status=answer.status,
        body=answer.body,
        retry_after_ms=answer.retry_after_ms,
        owner=answer.owner or None,
    )


def extract_claim_answer(answer: Any) -> Any:
    """Returns the `ClaimAnswer` in a `CommandAnswer`."""
    if answer.committed:
        return answer.claim
    return ttypes.ClaimAnswer(
        verdict=ttypes.ClaimVerdict.UNAVAILABLE,
        status=0,
        retry_after_ms=answer.retry_after_ms or UNAVAILABLE_RETRY_MS,
    )
