"""Second answers, which a faulty backend server sends behind its first ones."""

from typing import NamedTuple

from tests.soak import answers

# Share of the second answers that come in one write with the first one.
AT_ONCE_SHARE = 0.5
MAXIMUM_DELAY_S = 0.03
NO_ANSWER = b"\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n"
# Id of a request that no client sends.
FOREIGN_ID = "foreign"


class SecondAnswer(NamedTuple):
    """What is sent behind an answer.

    Attributes:
        data: The bytes.
        delay_s: Time after the first answer, seconds; 0 for one write with it.
    """

    data: bytes
    delay_s: float


def draw(generator, request_id):
    """Draws what is sent behind the answer to a request.

    Args:
        generator: The `random.Random`, or module, to draw from.
        request_id: Id of the request that was answered.
    """
    delay_s = 0.0
    if generator.random() >= AT_ONCE_SHARE:
        delay_s = generator.uniform(0.001, MAXIMUM_DELAY_S)
    return SecondAnswer(_draw_data(generator, request_id), delay_s)


def _draw_data(generator, request_id):
    kind = generator.choice(("whole", "whole", "no-length", "no-answer"))
    if kind == "no-answer":
        return NO_ANSWER
    owner = generator.choice((request_id, FOREIGN_ID))
    headers = {answers.PROOF_HEADER: answers.make_proof(owner)}
    named = generator.choice((None, None, request_id, FOREIGN_ID))
    if named is not None:
        headers[answers.ID_HEADER] = named
    whole = answers.make_body(owner)
    body = generator.choice((whole, whole[:20], "ok", ""))
    status = generator.choice((200, 200, 500, 503))
    if status == 503:
        headers["Not-Run"] = "1"
    if kind != "no-length":
        headers["Content-Length"] = len(body)
    return answers.encode_head(status, headers) + body.encode()
