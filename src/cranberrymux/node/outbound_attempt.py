"""One attempt of a call between nodes without routes."""

from cranberrymux.node import attempt
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call


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

    def stream_to(
        self,
        call: inbound_call.InboundCall,
        head: answer_head.AnswerHead,
        body: bytes,
    ) -> None:
        """Sends the head and first bytes of a long answer to a caller.

        The answer is read no faster than the caller takes it.

        Args:
            call: The call of the caller.
            head: Head of the answer, with the headers for the caller.
            body: First bytes of the body.
        """
        call.on_send_buffer_full = self.pause
        call.on_send_buffer_drained = self.resume
        call.start_answer(head)
        call.send_body(body)
