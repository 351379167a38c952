"""Converts messages on quota tokens to thrift and back."""

from typing import Any

from cranberrymux.decisions.quotas import token_messages
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes

_MS_PER_S = 1000
_MAXIMUM_COUNT = (1 << 31) - 1


def encode_request(
    request: token_messages.TokenRequest, configuration_version: int
) -> Any:
    """Returns the thrift `QuotaRequest`.

    Its `incarnation` is the session of the node.
    """
    return ttypes.QuotaRequest(
        node_id=request.node_id,
        incarnation=request.session,
        sequence=request.sequence,
        rows=[_encode_row(row) for row in request.rows],
        configuration_version=configuration_version,
        is_standby=request.is_standby or None,
    )


def decode_request(message: Any) -> token_messages.TokenRequest:
    """Returns the request in a thrift `QuotaRequest`."""
    return token_messages.TokenRequest(
        message.node_id,
        message.incarnation,
        message.sequence,
        tuple(_decode_row(row) for row in message.rows),
        bool(message.is_standby),
    )


def encode_answer(
    answer: token_messages.TokenAnswer, configuration_version: int
) -> Any:
    """Returns the thrift `QuotaAnswer`."""
    return ttypes.QuotaAnswer(
        rows=[_encode_row(row) for row in answer.rows],
        ttl_ms=int(answer.ttl_s * _MS_PER_S),
        configuration_version=configuration_version,
    )


def decode_answer(message: Any) -> token_messages.TokenAnswer:
    """Returns the answer in a thrift `QuotaAnswer`."""
    return token_messages.TokenAnswer(
        tuple(_decode_row(row) for row in message.rows),
        message.ttl_ms / _MS_PER_S,
    )


def find_refusal(
    error: wire_error.WireError,
) -> token_messages.TokenRefusal | None:
    """Returns why the owner refused; None for any other failure."""
    if error.reason is not wire_error.WireErrorReason.REFUSED:
        return None
    for refusal in token_messages.TokenRefusal:
        if error.detail.endswith(refusal.value):
            return refusal
    return None


def _encode_row(row: token_messages.TokenRow) -> Any:
    tokens = min(row.tokens, _MAXIMUM_COUNT)
    return ttypes.QuotaRow(
        account=row.account,
        tokens=-tokens if row.is_urgent else tokens,
        used=min(row.used, _MAXIMUM_COUNT),
    )


def _decode_row(message: Any) -> token_messages.TokenRow:
    return token_messages.TokenRow(
        message.account, abs(message.tokens), message.used, message.tokens < 0
    )
