"""The verdict that a call waits for a slot."""

from typing import NamedTuple


class Queued(NamedTuple):
    """The call waits; `poll` tells when it starts or is refused.

    Attributes:
        expires_s: Monotonic seconds at which it is refused at the latest.
    """

    expires_s: float
