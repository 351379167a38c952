"""Interface of the receiver of an outbound call's answer."""

from typing import Protocol

from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers
from cranberrymux.node.http import lost_answer


class AnswerSink(Protocol):
    """Receives one answer as it is read, and backpressure of the request.

    The last event is `answer_complete` or `answer_lost`, unless the request is
    cancelled.
    """

    def answer_interim(self, status: int, extra: headers.HeaderList) -> None:
        """Takes a 1xx answer; the final one follows.

        Args:
            status: Status code from 100 to 199.
            extra: Headers of the 1xx answer.
        """

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Takes the head of the final answer."""

    def answer_part(self, part: bytes) -> None:
        """Takes the next bytes of the body."""

    def answer_complete(self) -> None:
        """Takes note that the whole answer was received."""

    def answer_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Takes note that the answer failed before its end."""

    def request_buffer_full(self) -> None:
        """Takes note that the send buffer of the request's body is full."""

    def request_buffer_drained(self) -> None:
        """Takes note that the send buffer of the request's body is empty."""
