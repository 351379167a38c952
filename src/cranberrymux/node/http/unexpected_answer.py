"""Bytes from a receiver that do not answer the pending request."""

import enum
from typing import NamedTuple


class UnexpectedKind(enum.Enum):
    """Why received bytes are not taken as the pending request's answer.

    The values are metric labels and reasons of log lines.

    Attributes:
        WHILE_IDLE: They came while no request was pending.
        BEHIND_ANSWER: They were read together with the end of an answer and
            stand behind it.
        OTHER_ID: They are an answer that bears another id.
        NO_ID: They are an answer without an id.
        TOO_LONG: They go on beyond what an answer may have.
    """

    WHILE_IDLE = "while-idle"
    BEHIND_ANSWER = "behind-answer"
    OTHER_ID = "other-id"
    NO_ID = "no-id"
    TOO_LONG = "too-long"


class UnexpectedAnswer(NamedTuple):
    """One occurrence, as reported by a connection.

    Attributes:
        kind: Why the bytes are not taken as an answer.
        request_id: Id of the pending request; empty if none is pending.
        answer_id: Id that the answer bears; empty if none was read.
    """

    kind: UnexpectedKind
    request_id: bytes
    answer_id: bytes
