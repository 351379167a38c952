"""What becomes of an answer that arrives."""

import enum


class Acceptance(enum.Enum):
    """Sentinels for the fate of an answer.

    Attributes:
        DELIVER: It is the call's answer.
        LATE: The call has its answer, has ended, or waits for a later
            attempt; drop it.
        STRANGER: It is not the call's; drop it and close the connection.
        TRUNCATED: It is shorter or longer than announced; never pass it on.
    """

    DELIVER = "deliver"
    LATE = "late"
    STRANGER = "stranger"
    TRUNCATED = "truncated"
