"""How far a quota may be exceeded, and what follows for tokens."""

from typing import NamedTuple

MAXIMUM_TTL_S = 3.0
# Tokens must end well within a window, so that a lower limit binds after one.
TTL_PER_WINDOW = 0.6
# Part of the tolerance for tokens that exist. The rest is for requests that
# have taken their token but do not run yet.
CAPACITY_PART = 0.8
# Part of the capacity that may be at nodes. The rest is what a new owner may
# hand out while tokens of its predecessor are still valid.
OUT_SHARE = 0.7
# Part of the capacity that only nodes at which requests wait may get.
RESERVE_SHARE = 0.1


class QuotaSettings(NamedTuple):
    """Bounds on the requests of one account that run in any window.

    In any window, at most (`per_s` x `window_s` + `burst`) x (1 + `over`) +
    `slack` requests run.

    Attributes:
        window_s: Length of the window in seconds.
        over: Part by which the quota may be exceeded.
        slack: Requests by which it may be exceeded in addition.
    """

    window_s: float = 5.0
    over: float = 0.1
    slack: float = 20.0

    @property
    def ttl_s(self) -> float:
        """Seconds for which a token is valid."""
        return min(MAXIMUM_TTL_S, TTL_PER_WINDOW * self.window_s)

    def get_tolerance(self, per_s: float, burst: float) -> float:
        """Returns how many requests beyond the quota may run in a window."""
        return self.over * (per_s * self.window_s + burst) + self.slack

    def get_capacity(self, per_s: float, burst: float) -> float:
        """Returns how many tokens may exist, unspent, at any time."""
        return burst + CAPACITY_PART * self.get_tolerance(per_s, burst)

    def get_maximum_out(self, per_s: float, burst: float) -> float:
        """Returns how many tokens may be at nodes at any time."""
        return OUT_SHARE * self.get_capacity(per_s, burst)

    def get_handover_capacity(self, per_s: float, burst: float) -> float:
        """Returns the capacity while tokens of an earlier owner may be valid.

        Those are at most `get_maximum_out`, so that all that exist stay within
        the capacity.
        """
        return (1.0 - OUT_SHARE) * self.get_capacity(per_s, burst)

    def get_reserve(self, per_s: float, burst: float) -> float:
        """Returns how many tokens are kept for requests that wait."""
        return RESERVE_SHARE * self.get_capacity(per_s, burst)
