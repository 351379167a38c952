"""Reads the system's headers in the answer of another node."""

from typing import NamedTuple

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason
from cranberrymux.models import whole_number
from cranberrymux.node.http import answer_head

_KINDS = {kind.value.encode(): kind for kind in answer_kind.AnswerKind}
_REASONS = {
    reason.value.encode(): reason for reason in refusal_reason.RefusalReason
}


class AnswerMetadata(NamedTuple):
    """Values of the `cranberrymux-` headers of an answer.

    Attributes:
        kind: Kind of the answer; None if absent.
        reason: Why a node answered in place of the backend server; None if
            absent.
        level: Shed level of the endpoint, which refuses calls with a higher
            priority number; None if absent.
        unspent: Retries left of the budget in the call's context; 0 if absent.
        configuration: Version of the configuration in force at the other node;
            0 if absent.
        load: Load of the endpoint, 0.0 to 1.0; None if absent.
        is_dependency_failure: True if the call failed after one of its child
            calls had failed, so that it does not count against the endpoint.
    """

    kind: answer_kind.AnswerKind | None
    reason: refusal_reason.RefusalReason | None
    level: int | None
    unspent: int
    configuration: int
    load: float | None
    is_dependency_failure: bool


def parse_metadata(head: answer_head.AnswerHead) -> AnswerMetadata:
    """Reads the headers of an answer; invalid values count as absent."""
    values = {
        name: value
        for name, value in head.headers
        if name.startswith(b"cranberrymux-")
    }
    level = whole_number.decode(values.get(b"cranberrymux-level"))
    load = whole_number.decode(values.get(b"cranberrymux-load"))
    return AnswerMetadata(
        _KINDS.get(values.get(b"cranberrymux-answer", b"")),
        _REASONS.get(values.get(b"cranberrymux-reason", b"")),
        level,
        whole_number.decode(values.get(b"cranberrymux-unspent")) or 0,
        whole_number.decode(values.get(b"cranberrymux-configuration")) or 0,
        None if load is None else min(load / 1000, 1.0),
        b"cranberrymux-dependency-failed" in values,
    )
