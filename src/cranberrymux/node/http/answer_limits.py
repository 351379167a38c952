"""Limits on the answers that a client connection reads."""

from typing import NamedTuple


class AnswerLimits(NamedTuple):
    """Limits on one answer, beyond which the connection is aborted.

    Attributes:
        head_bytes: Most bytes of all header names and values together.
        header_count: Most headers.
        interim_answers: Most 1xx answers before the final one.
        framing_bytes: Most bytes that bring none of the body, such as those
            of an endless line.
        body_bytes: Longest body.
        discarded_bytes: Longest body of an answer to another request.
    """

    head_bytes: int = 65_536
    header_count: int = 256
    interim_answers: int = 16
    framing_bytes: int = 131_072
    body_bytes: int = 1 << 30
    discarded_bytes: int = 1 << 20


# For answers of other nodes, which add headers to those of backend servers.
BETWEEN_NODES = AnswerLimits(
    head_bytes=131_072, header_count=300, framing_bytes=262_144
)
# For answers whose body is not used.
HEAD_ONLY = AnswerLimits(body_bytes=65_536)
DEFAULT = AnswerLimits()
