"""A request that nobody sent, for an explanation."""

from cranberrymux.gateway.explanation import question as question_module
from cranberrymux.node.http import body_mode
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import request_head

REQUEST_ID = b"explained"


class _NoConnection:
    """Connection of a call whose answer goes nowhere."""

    is_draining = False

    def send(self, data: bytes) -> None:
        """Ignores bytes to the client."""

    def call_answered(self, keep_alive: bool) -> None:
        """Ignores the end of the answer."""

    def abort(self) -> None:
        """Ignores the end of the connection."""

    def pause_body(self) -> None:
        """Ignores flow control."""

    def resume_body(self) -> None:
        """Ignores flow control."""


class AskedCall(inbound_call.InboundCall):
    """Keeps the answer in place of sending it.

    Attributes:
        status: HTTP status of the answer; 0 without one.
        answer_headers: Headers of the answer.
        answer_body: Body of the answer.
    """

    def __init__(
        self,
        question: question_module.Question,
        headers: headers_module.HeaderList,
    ) -> None:
        """Makes a request without a body.

        Args:
            question: The request asked about.
            headers: All of its headers, with names in lower case.
        """
        head = request_head.RequestHead(
            method=question.method.encode(),
            target=question.path.encode(),
            headers=headers_module.Headers(headers),
            mode=body_mode.BodyMode.NONE,
            content_length=0,
            keep_alive=True,
            is_http_1_0=False,
        )
        super().__init__(_NoConnection(), head)
        self.complete_body()
        self.status = 0
        self.answer_headers: headers_module.HeaderList = []
        self.answer_body = b""

    def answer(
        self,
        status: int,
        answer_headers: headers_module.HeaderList,
        body: bytes,
    ) -> None:
        """Keeps the answer."""
        self.status = status
        self.answer_headers = answer_headers
        self.answer_body = body
        super().answer(status, answer_headers, body)
