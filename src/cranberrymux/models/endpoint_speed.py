"""How fast an endpoint is, as its node measures it."""

from typing import NamedTuple


class EndpointSpeed(NamedTuple):
    """Speed of one endpoint, for the choice among those of its service.

    Attributes:
        slots: Requests that its backend server can run at once; 0 if it has
            not said other than by its announcements.
        work_s: Usual working time of a request in seconds, without the time
            that it waits for calls of its own.
        work_share: Share of the time in a slot that is working time, 0 to 1.
        present_slowness: Ratio of the working times at present to the usual
            ones of this endpoint, as far as they vary within a second.
    """

    slots: int
    work_s: float
    work_share: float = 1.0
    present_slowness: float = 1.0
