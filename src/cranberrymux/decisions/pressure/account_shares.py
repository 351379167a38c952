"""Fair shares of accounts at one service, as learned from answers."""

import math

from cranberrymux.decisions.pressure import fair_shares

SHARE_TIME_CONSTANT_S = 0.3  # Of the mean share.
SHARE_TTL_S = 3.0
# An expired share grows by a factor of e in it. Where few requests of an
# account enter, most are refused, and the next answer takes seconds.
REOPEN_TIME_CONSTANT_S = 10.0
# Requests a second by which the measured rate of an account may be wrong. It
# keeps the share of an account with few requests here from following them.
RATE_NOISE_PER_S = 4.0
MAXIMUM_ACCOUNTS = 512
_FULL_SHARE = 0.995  # From here on an account is not held back.


class _State:
    """Share of one account, and its requests a second at this node then."""

    __slots__ = ("per_s", "share", "updated_s")

    def __init__(self, share: float, per_s: float, now_s: float) -> None:
        self.share = share
        self.per_s = per_s
        self.updated_s = now_s


class AccountShares:
    """Shares of the accounts that are held back; all others have 1.0."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._states: dict[fair_shares.AccountKey, _State] = {}
        self._noted_s = -math.inf

    def is_current(self, now_s: float) -> bool:
        """True if the service has lately told shares of accounts."""
        return now_s - self._noted_s <= SHARE_TTL_S

    def note(
        self,
        now_s: float,
        key: fair_shares.AccountKey,
        share: float,
        per_s: float,
    ) -> None:
        """Records a reported share.

        Args:
            now_s: Monotonic seconds.
            key: Whose share it is.
            share: Share of its requests that fits, 0.0 to 1.0.
            per_s: Its present requests a second at this node.
        """
        self._noted_s = now_s
        mean = self.get(now_s, key, per_s)
        mean += self._find_weight(now_s, key, per_s) * (share - mean)
        if mean >= _FULL_SHARE:
            self._states.pop(key, None)
            return
        if key not in self._states and len(self._states) >= MAXIMUM_ACCOUNTS:
            self._remove_oldest()
        self._states[key] = _State(mean, per_s, now_s)

    def get(
        self, now_s: float, key: fair_shares.AccountKey, per_s: float
    ) -> float:
        """Returns the share of an account that may start.

        What is granted is a rate: if the account sends more since the last
        report, its share falls at once.

        Args:
            now_s: Monotonic seconds.
            key: The account.
            per_s: Its present requests a second at this node.
        """
        state = self._states.get(key)
        if state is None:
            return 1.0
        share = state.share
        share *= (state.per_s + RATE_NOISE_PER_S) / (per_s + RATE_NOISE_PER_S)
        late_s = now_s - state.updated_s - SHARE_TTL_S
        if late_s > 0.0:
            share *= math.exp(min(late_s / REOPEN_TIME_CONSTANT_S, 10.0))
        return min(share, 1.0)

    def _find_weight(
        self, now_s: float, key: fair_shares.AccountKey, per_s: float
    ) -> float:
        """Weight of a report: the rarer they are, the more one counts."""
        state = self._states.get(key)
        if state is not None:
            gap_s = now_s - state.updated_s
        else:
            gap_s = 1.0 / max(per_s, 0.1)
        return 1.0 - math.exp(-gap_s / SHARE_TIME_CONSTANT_S)

    def _remove_oldest(self) -> None:
        oldest = min(self._states, key=lambda key: self._states[key].updated_s)
        del self._states[oldest]
