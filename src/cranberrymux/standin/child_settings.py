"""Settings of the calls that a stand-in makes to one service."""

from typing import NamedTuple


class ChildSettings(NamedTuple):
    """One service that a stand-in calls for each call of its own.

    Attributes:
        service: Name of the service.
        calls: Calls made to it, one after the other.
    """

    service: str
    calls: int
