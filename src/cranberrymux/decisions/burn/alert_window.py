"""A pair of windows that must both burn fast."""

from typing import NamedTuple


class AlertWindow(NamedTuple):
    """When a burn is told.

    The long window shows that the burn matters, the short one that it still
    goes on.

    Attributes:
        long_s: Length of the long window in seconds.
        short_s: Length of the short window in seconds.
        rate_threshold: Burn rate that both must reach.
        requests_min: Least answers in the short window; a few answers say
            nothing of a rate.
    """

    long_s: int
    short_s: int
    rate_threshold: float
    requests_min: int = 1


# The windows of chapter 5 of the Site Reliability Workbook, for a budget of
# 30 days: 2%, 5% and 10% of it spent within the long window.
DEFAULTS = (
    AlertWindow(3600, 300, 14.4),
    AlertWindow(6 * 3600, 1800, 6),
    AlertWindow(3 * 86400, 6 * 3600, 1),
)
