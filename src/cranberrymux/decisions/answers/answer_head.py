"""What an answer says of itself."""

from typing import NamedTuple

from cranberrymux.models import answer_kind


class AnswerHead(NamedTuple):
    """The head of an answer, with the attempt whose connection it came on.

    Attributes:
        request_id: `Cranberrymux-Request-Id`; None if absent, as from a
            backend server.
        attempt: Attempt that was sent on the connection.
        kind: Kind of the answer.
    """

    request_id: str | None
    attempt: int
    kind: answer_kind.AnswerKind
