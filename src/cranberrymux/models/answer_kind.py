"""Classification of final answers by whether the call ran."""

import enum


class AnswerKind(enum.Enum):
    """What a final answer says about the execution of its call.

    Attributes:
        DONE: The backend server ran the call and this is its complete answer.
        FAILED: The backend server ran the call and answered with a 5xx status.
        NOT_RUN: It is proven that no byte of the call reached a backend
            server, so a retry cannot run the call twice.
        UNKNOWN: The call may have run; its outcome was lost.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
