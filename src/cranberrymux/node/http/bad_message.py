"""Why a message of a client was not accepted."""

from typing import NamedTuple


class BadMessage(NamedTuple):
    """A sentinel with its reason.

    Attributes:
        status: Status code of the answer: 400, 413, 414, 417, 431 or 501.
        detail: One line for people.
    """

    status: int
    detail: str
