"""Conversion between thrift messages and the types of `decisions`."""

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

_CHANGE_VERDICT_NUMBERS = {
    change_verdict.ChangeVerdict.ACCEPTED: ttypes.ChangeVerdict.ACCEPTED,
    change_verdict.ChangeVerdict.CONFLICT: ttypes.ChangeVerdict.CONFLICT,
    change_verdict.ChangeVerdict.INVALID: ttypes.ChangeVerdict.INVALID,
}
_CHANGE_VERDICTS_BY_NUMBER = {
    number: verdict for verdict, number in _CHANGE_VERDICT_NUMBERS.items()
}
_CLAIM_VERDICT_NUMBERS = {
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

CLAIM_VERDICT_NAMES = {
    number: name.lower().replace("_", "-")
    for number, name in ttypes.ClaimVerdict._VALUES_TO_NAMES.items()
}
UNAVAILABLE_RETRY_MS = 1000


def encode_change(requested: change.Change) -> Any:
    """Returns a requested change as a thrift `ChangeRequest`."""
    return ttypes.ChangeRequest(
        change_id=requested.change_id,
        base_version=requested.base_version,
        author=requested.author,
        document=requested.document,
        rollback_of=requested.rollback_of or None,
    )


def decode_change(message: Any) -> change.Change:
    """Returns the change that a thrift `ChangeRequest` asks for."""
    return change.Change(
        message.change_id,
        message.base_version,
        message.author,
        message.document,
        message.rollback_of or 0,
    )


def encode_change_answer(answer: change_answer.ChangeAnswer) -> Any:
    """Returns an answer to a change as a thrift `ChangeAnswer`."""
    record = answer.record
    record_message = None
    if record is not None:
        fields = record._asdict()
        fields["rollback_of"] = record.rollback_of or None
        record_message = ttypes.ChangeRecord(**fields)
    return ttypes.ChangeAnswer(
        verdict=_CHANGE_VERDICT_NUMBERS[answer.verdict],
        record=record_message,
        detail=answer.detail,
    )


def decode_change_answer(message: Any) -> change_answer.ChangeAnswer:
    """Returns the answer to a change that a thrift `ChangeAnswer` holds."""
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
    verdict = _CHANGE_VERDICTS_BY_NUMBER[message.verdict]
    return change_answer.ChangeAnswer(verdict, record, message.detail)


def decode_claim(message: Any) -> claim.Claim:
    """Returns the claim that a thrift `ClaimRequest` asks for."""
    return claim.Claim(
        message.request_id,
        message.call_id,
        message.body_digest,
        message.owner,
        message.owner_incarnation,
        message.principal,
        message.claim_id or "",
    )


def decode_settlement(message: Any) -> settlement.Settlement:
    """Returns the settlement that a thrift `SettleRequest` reports."""
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
    """Returns the ledger's answer as a thrift `ClaimAnswer`."""
    return ttypes.ClaimAnswer(
        verdict=_CLAIM_VERDICT_NUMBERS[answer.verdict],
        status=answer.status,
        body=answer.body,
        retry_after_ms=answer.retry_after_ms,
        owner=answer.owner or None,
    )


def extract_claim_answer(answer: Any) -> Any:
    """Returns the `ClaimAnswer` in a thrift `CommandAnswer`.

    For a command that was not committed, it is one with verdict `UNAVAILABLE`.
    """
    if answer.committed:
        return answer.claim
    return ttypes.ClaimAnswer(
        verdict=ttypes.ClaimVerdict.UNAVAILABLE,
        status=0,
        retry_after_ms=answer.retry_after_ms or UNAVAILABLE_RETRY_MS,
    )
