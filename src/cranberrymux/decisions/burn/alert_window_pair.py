"""Pairs of windows for multiwindow burn-rate alerts."""

from typing import NamedTuple


class AlertWindowPair(NamedTuple):
    """The condition under which an objective counts as burning.

    The long window shows that a significant part of the budget is spent, the
    short window that it is still being spent.

    Attributes:
        long_s: Length of the long window in seconds.
        short_s: Length of the short window in seconds.
        rate_threshold: Burn rate that both windows must reach; 1 uses up the
            budget in exactly the objective's window.
        requests_min: Minimum number of answers in the short window; fewer
            give no meaningful rate.
    """

    long_s: int
    short_s: int
    rate_threshold: float
    requests_min: int = 1


# Chapter 5 of the Site Reliability Workbook recommends these windows for a
# budget of 30 days: they detect 2%, 5% and 10% of it spent in the long window.
DEFAULTS = (
    AlertWindowPair(3600, 300, 14.4),
    AlertWindowPair(6 * 3600, 1800, 6),
    AlertWindowPair(3 * 86400, 6 * 3600, 1),
)
