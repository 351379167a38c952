"""What a node does with an answer that it receives."""

import enum


class Acceptance(enum.Enum):
    """Whether a received answer is delivered to its call.

    Attributes:
        DELIVER: The answer belongs to the call; pass it on.
        LATE: The call has its answer, has ended, or waits for a later
            attempt; drop the answer.
        MISMATCHED: The answer belongs to another call; drop it and close the
            connection.
        TRUNCATED: The answer is shorter or longer than its announced length;
            never pass it on.
    """

    DELIVER = "deliver"
    LATE = "late"
    MISMATCHED = "stranger"
    TRUNCATED = "truncated"
