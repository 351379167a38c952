"""The sentinel of the adapters."""

from typing import NamedTuple


class TransportError(NamedTuple):
    """Takes the place of a response.

    Attributes:
        address: Whom it was asked of.
        detail: One line for people.
    """

    address: str
    detail: str
