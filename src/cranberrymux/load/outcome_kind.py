"""Classification of outcomes from the view of a client."""

import enum


class OutcomeKind(enum.Enum):
    """What a client knows about a request or one of its attempts.

    Attributes:
        DONE: A complete response that belongs to the request came.
        FAILED: The backend server ran the request and failed.
        NOT_RUN: It is proven that the request did not run.
        UNKNOWN: The request may have run.
        WRONG: The response belongs to another request or is malformed.
        CUT: The response is truncated.
        HUNG_UP: The client hung up before a response.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    WRONG = "wrong"
    CUT = "cut"
    HUNG_UP = "hung_up"
