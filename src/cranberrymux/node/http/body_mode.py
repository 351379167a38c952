"""Framing of HTTP message bodies."""

import enum


class BodyMode(enum.Enum):
    """How the end of a message's body is found.

    Attributes:
        NONE: There is no body.
        SIZED: By the length that `Content-Length` gives.
        CHUNKED: By the last chunk of the chunked transfer coding.
        UNTIL_CLOSE: By the close of the connection; answers only.
    """

    NONE = "none"
    SIZED = "sized"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until-close"
