"""Sends whole answers between nodes without routes."""

from cranberrymux.node.http import answer_head
from cranberrymux.node.http import inbound_call


def send(
    call: inbound_call.InboundCall, head: answer_head.AnswerHead, body: bytes
) -> None:
    """Answers a call; an answer to HEAD keeps the length that it names.

    Args:
        call: The call.
        head: Head of the answer, with the headers for the caller.
        body: The whole body.
    """
    if call.head.method == b"HEAD":
        call.start_answer(head)
        call.finish()
        return
    call.answer(head.status, head.headers, body)
