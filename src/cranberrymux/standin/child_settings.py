"""Settings of the child calls to one service."""

from typing import NamedTuple


class ChildSettings(NamedTuple):
    """A service that a stand-in calls while it runs a call.

    Attributes:
        service: Name of the service.
        calls: Number of child calls to it for each call, one after the other;
            at least 1.
    """

    service: str
    calls: int
