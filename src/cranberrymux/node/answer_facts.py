"""What the headers of another node's answer say."""

from typing import NamedTuple

from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason
from cranberrymux.node.http import answer_head

_KINDS = {one.value.encode(): one for one in answer_kind.AnswerKind}
_REASONS = {one.value.encode(): one for one in refusal_reason.RefusalReason}


class AnswerFacts(NamedTuple):
    """The system's headers of an answer.

    Attributes:
        kind: Kind of the answer; None if it names none.
        reason: Why a node made the answer; None if it names none.
        level: Highest priority that the endpoint takes; None if not told.
        unspent: Retries left of those that went with the call.
        configuration: Version in force at the other node.
        load: Load of the endpoint, 0.0 to 1.0; None if not told.
        is_dependency_failure: True if the call failed after a call that it
            made failed, which says nothing of the endpoint itself.
    """

    kind: answer_kind.AnswerKind | None
    reason: refusal_reason.RefusalReason | None
    level: int | None
    unspent: int
    configuration: int
    load: float | None
    is_dependency_failure: bool


def read_facts(head: answer_head.AnswerHead) -> AnswerFacts:
    """Reads the system's headers; what is not valid counts as absent."""
    found = {
        name: value
        for name, value in head.headers
        if name.startswith(b"cranberrymux-")
    }
    level = _read_number(found.get(b"cranberrymux-level"))
    load = _read_number(found.get(b"cranberrymux-load"))
    return AnswerFacts(
        _KINDS.get(found.get(b"cranberrymux-answer", b"")),
        _REASONS.get(found.get(b"cranberrymux-reason", b"")),
        level,
        _read_number(found.get(b"cranberrymux-unspent")) or 0,
        _read_number(found.get(b"cranberrymux-configuration")) or 0,
        None if load is None else min(load / 1000, 1.0),
        b"cranberrymux-dependency-failed" in found,
    )


def _read_number(value: bytes | None) -> int | None:
    if value is None or not value.isdigit():
        return None
    return int(value)
