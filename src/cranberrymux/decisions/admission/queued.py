"""The verdict that a call waits for a slot."""

from typing import NamedTuple


class Queued(NamedTuple):
    """The call waits until `poll` starts or refuses it.

    Attributes:
        expires_s: Monotonic seconds from which a call still waiting is refused.
    """

    expires_s: float
