"""Sentinels for an attempt that has no whole answer."""

import enum


class Lost(enum.Enum):
    """Why an attempt has no whole answer.

    Attributes:
        UNREACHABLE: No connection was made, so nothing was sent.
        NOT_SENT: The client stopped waiting for a free connection.
        NO_ANSWER: The connection closed before the answer began.
        CUT: The connection closed within the answer.
        MALFORMED: The answer is not HTTP.
        TIMED_OUT: The client stopped waiting.
        HUNG_UP: The client hung up on purpose.
        UNFINISHED: The load ended first.
    """

    UNREACHABLE = "unreachable"
    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"
    CUT = "cut"
    MALFORMED = "malformed"
    TIMED_OUT = "timed-out"
    HUNG_UP = "hung-up"
    UNFINISHED = "unfinished"
