"""Whoever takes the answer to an outbound call."""

from typing import Protocol

from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers
from cranberrymux.node.http import lost_answer


class AnswerSink(Protocol):
    """Takes an answer part by part; ends with `complete` or `lost`."""

    def answer_interim(self, status: int, extra: headers.HeaderList) -> None:
        """Takes a 1xx answer."""

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Takes the head of the final answer."""

    def answer_part(self, part: bytes) -> None:
        """Takes the next bytes of the body."""

    def answer_complete(self) -> None:
        """Takes note that the answer is whole."""

    def answer_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Takes note that the rest of the answer will never come."""

    def request_full(self) -> None:
        """The receiver takes the request's body too slowly."""

    def request_drained(self) -> None:
        """The receiver has taken what was written."""
