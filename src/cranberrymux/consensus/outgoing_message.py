"""A message of the replicated log that is to be sent."""

from typing import NamedTuple


class OutgoingMessage(NamedTuple):
    """An encoded message to send; delivery is not guaranteed.

    Attributes:
        recipient: Replica id of the addressee.
        address: The recipient's address in the membership in force; empty if
            it is no member.
        payload: The encoded message.
    """

    recipient: str
    address: str
    payload: bytes
