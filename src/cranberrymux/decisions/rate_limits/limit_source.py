"""Where a node has learned a rate limit from."""

import enum


class LimitSource(enum.Enum):
    """Where a node has learned a rate limit from.

    Attributes:
        ANSWER: An answer of the backend server to a request.
        HEALTH_CHECK: Its answer to a health check.
        SENDER: A request of another node, which had learned it before.
    """

    ANSWER = "answer"
    HEALTH_CHECK = "health-check"
    SENDER = "sender"
