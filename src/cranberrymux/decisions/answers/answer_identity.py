"""The fields by which an answer is matched to its call."""

from typing import NamedTuple

from cranberrymux.models import answer_kind


class AnswerIdentity(NamedTuple):
    """Request id and kind of an answer, and the attempt that it answers.

    Attributes:
        request_id: `Cranberrymux-Request-Id`; None if absent, as from a
            backend server.
        attempt: Attempt that was sent on the connection.
        kind: Kind of the answer.
    """

    request_id: str | None
    attempt: int
    kind: answer_kind.AnswerKind
