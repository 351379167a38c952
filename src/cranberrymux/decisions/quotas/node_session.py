"""The session of a node, as the owner of the quotas knows it."""

from cranberrymux.decisions.quotas import token_messages


class NodeSession:
    """Last request and answer of a session.

    Attributes:
        number: Number of the session.
        is_standby: True for the pool of a control instance.
        sequence: Number of the last request.
        heard_s: When it was received, in seconds.
        answer: Answer to it, also to its repeats.
    """

    __slots__ = ("answer", "heard_s", "is_standby", "number", "sequence")

    def __init__(self, number: int, is_standby: bool) -> None:
        """Starts without a request.

        Args:
            number: Number of the session.
            is_standby: True for the pool of a control instance.
        """
        self.number = number
        self.is_standby = is_standby
        self.sequence = 0
        self.heard_s = 0.0
        self.answer = token_messages.TokenAnswer((), 0.0)
