"""What a client may conclude of a request."""

import enum


class OutcomeKind(enum.Enum):
    """The outcome of a request or of one attempt.

    Attributes:
        DONE: A whole answer that belongs to the request.
        FAILED: The backend server ran it and failed.
        NOT_RUN: Proven: it was not run.
        UNKNOWN: It may have run.
        WRONG: The answer belongs to another request, or is no answer.
        CUT: The answer is not whole.
        HUNG_UP: The client hung up.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    CUT = "cut"
    HUNG_UP = "hung_up"
