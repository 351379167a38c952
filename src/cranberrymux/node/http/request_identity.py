"""The header by which an answer shows to which request it belongs."""

from typing import NamedTuple


class RequestIdentity(NamedTuple):
    """Header that a request bears and that its answer repeats.

    Attributes:
        header: Name of the header, in lower case.
        value: The request's id.
    """

    header: bytes
    value: bytes
