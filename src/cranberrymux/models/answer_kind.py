"""The four kinds of final answer."""

import enum


class AnswerKind(enum.Enum):
    """What the caller may conclude from an answer.

    Attributes:
        DONE: The backend server ran the call and this is its whole answer.
        FAILED: The backend server ran the call and answered with a 5xx.
        NOT_RUN: Proven: no byte of the call reached a backend server.
        UNKNOWN: The call may have run; its outcome was lost.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
