"""How the body of a message is delimited."""

import enum


class BodyMode(enum.Enum):
    """Framing of a body."""

    NONE = "none"
    SIZED = "sized"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until-close"
