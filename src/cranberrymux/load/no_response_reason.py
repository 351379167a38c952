"""Reasons why an attempt has no complete response."""

import enum


class NoResponseReason(enum.Enum):
    """Why an attempt has no complete response.

    Attributes:
        UNREACHABLE: The connection failed, so nothing was sent.
        NOT_SENT: The attempt was given up while it waited for a connection.
        NO_ANSWER: The connection closed before the first byte of a response.
        CUT: The connection closed in the middle of the response.
        MALFORMED: The response is not HTTP, or its body is too long.
        TIMED_OUT: No response came within the timeout.
        HUNG_UP: The client hung up, as its settings demand.
        UNFINISHED: The load ended before the response came.
    """

    UNREACHABLE = "unreachable"
    NOT_SENT = "not-sent"
    NO_ANSWER = "no-answer"
    CUT = "cut"
    MALFORMED = "malformed"
    TIMED_OUT = "timed-out"
    HUNG_UP = "hung-up"
    UNFINISHED = "unfinished"
