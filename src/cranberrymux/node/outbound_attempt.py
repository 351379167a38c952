"""One attempt of a call between nodes without routes."""

from cranberrymux.node import attempt
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers


class OutboundAttempt(attempt.Attempt):
    """Passes on 1xx answers, and long answers as soon as they begin."""

    def answer_interim(self, status: int, extra: headers.HeaderList) -> None:
        """Forwards 1xx answers but 100, which is for this node alone."""
        if status != 100:
            self._request.call.send_interim(status, headers.forwardable(extra))

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Starts to stream an answer that is too long to be held."""
        super().answer_started(head)
        if head.content_length > self._maximum_held_bytes:
            self._start_streaming()
