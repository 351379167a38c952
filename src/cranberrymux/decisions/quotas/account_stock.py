"""The tokens of one account that a node holds."""

import math

from cranberrymux.decisions.quotas import request_rate
from cranberrymux.decisions.quotas import token_messages

# Demand that the stock covers, longer than it takes to elect another owner. A
# longer one holds more tokens than may be at nodes in all, so that nodes that
# ask last get none although the account is within its quota.
HORIZON_S = 1.0
HORIZON_PER_TTL = 0.7
# Requests that fail to come before the account counts as gone from this node.
# The decay of the rate alone would keep its tokens for seconds.
MAXIMUM_MISSED = 8.0
# Time after a request in which a node keeps a token for the next one. Tokens
# that lie at nodes are missing where a request waits.
KEEP_S = 0.3
# Demand that tokens of a pool cover, which are for a short time only.
POOL_HORIZON_S = 0.25
# A stock is topped up below this part of what is wanted.
LOW_RATIO = 0.5
# Tokens are given back above this multiple of what is wanted.
HIGH_RATIO = 1.5
RENEWAL_RATIO = 1 / 3
REPORT_DELAY_S = 0.2
# After a request that got nothing, a node that is not out of tokens waits this
# long before it asks again.
DENIED_PAUSE_S = 0.5
FORGET_S = 5.0


class AccountStock:
    """Tokens, demand and what was not reported yet of one account.

    Attributes:
        waiting: Requests that wait for a token.
        demand: Rate of requests.
        refused: Rate of requests refused for lack of a token.
        granted: Rate of tokens received.
    """

    def __init__(self, name: str, now_s: float) -> None:
        """Starts without tokens.

        Args:
            name: Name of the account.
            now_s: Present time in seconds.
        """
        self.waiting = 0
        self.demand = request_rate.RequestRate(now_s)
        self.refused = request_rate.RequestRate(now_s)
        self.granted = request_rate.RequestRate(now_s)
        self._name = name
        self._own = 0
        self._own_until_s = -math.inf
        self._own_ttl_s = math.inf
        # Tokens of earlier sessions and of pools, of which nothing is reported.
        self._foreign: list[tuple[float, int]] = []
        self._used = 0
        self._reported_s = now_s
        self._denied_s = -math.inf
        self._has_asked = False
        self._seen_s = now_s

    def get_held(self, now_s: float) -> int:
        """Returns how many valid tokens there are."""
        own = self._own if now_s < self._own_until_s else 0
        return own + self._count_foreign(now_s)

    def has_lapsed(self, now_s: float) -> bool:
        """True if tokens of the present session expired unspent."""
        return self._own > 0 and now_s >= self._own_until_s

    def is_idle(self, now_s: float) -> bool:
        """True if nothing is left to remember or to report."""
        return (
            not self.waiting
            and not self._own
            and not self._used
            and now_s - self._seen_s > FORGET_S
            and not self._count_foreign(now_s)
        )

    def note_arrival(self, now_s: float) -> None:
        """Counts a request in the demand."""
        self.demand.note(now_s)
        self._seen_s = now_s

    def take_foreign(self, now_s: float) -> bool:
        """Spends a token of which nothing is reported; False without one."""
        for index, (until_s, count) in enumerate(self._foreign):
            if now_s < until_s and count:
                self._foreign[index] = (until_s, count - 1)
                return True
        return False

    def take(self, now_s: float) -> bool:
        """Spends a token of the present session; False if there is none."""
        if self._own and now_s < self._own_until_s:
            self._own -= 1
            self._used += 1
            return True
        return False

    def give_back(self, now_s: float) -> None:
        """Takes back a token of the present session that was not needed."""
        if now_s < self._own_until_s:
            self._used -= 1
            self._own += 1

    def get_wanted(self, now_s: float) -> int:
        """Returns how many tokens the node wants to hold."""
        horizon_s = min(HORIZON_S, HORIZON_PER_TTL * self._own_ttl_s)
        stock = round(self.demand.get(now_s) * horizon_s)
        if self.demand.count_missed(now_s) > MAXIMUM_MISSED:
            stock = 0
        if not stock and now_s - self._seen_s < KEEP_S:
            stock = 1
        return stock + self.waiting

    def get_pool_wanted(self, now_s: float) -> int:
        """Returns how many tokens to request of a pool."""
        return self.waiting + round(POOL_HORIZON_S * self.demand.get(now_s))

    def is_urgent(self, now_s: float) -> bool:
        """True if requests wait for a token."""
        return self.waiting > 0 and not self.get_held(now_s)

    def is_due(self, now_s: float) -> bool:
        """True if the owner should hear of this account."""
        if self.is_urgent(now_s):
            return True
        wanted = self.get_wanted(now_s)
        held = self.get_held(now_s)
        if self._used and now_s - self._reported_s >= REPORT_DELAY_S:
            return True
        if self._own and held > HIGH_RATIO * wanted:
            return True
        is_paused = now_s - self._denied_s < DENIED_PAUSE_S
        if held < LOW_RATIO * wanted and not is_paused:
            return True
        left_s = self._own_until_s - now_s
        return self._own > 0 and left_s < RENEWAL_RATIO * self._own_ttl_s

    def make_row(self, now_s: float) -> token_messages.TokenRow:
        """Returns the row for a request that is sent now.

        Drops the tokens that are given back with it.
        """
        wanted = self.get_wanted(now_s)
        foreign = self._count_foreign(now_s)
        target = max(wanted - foreign, 0)
        if self._own + foreign <= HIGH_RATIO * wanted:
            target = max(target, self._own)
        self._own = min(self._own, target)
        self._has_asked = target > self._own
        row = token_messages.TokenRow(
            self._name, target, self._used, self.is_urgent(now_s)
        )
        self._used = 0
        self._reported_s = now_s
        return row

    def add(
        self, granted: int, until_s: float, ttl_s: float, now_s: float
    ) -> None:
        """Adds the tokens of an answer, which renews those held before.

        Args:
            granted: Tokens received.
            until_s: Seconds until which all tokens are valid.
            ttl_s: Seconds for which they were valid when requested.
            now_s: Present time in seconds.
        """
        self._own += granted
        self._own_until_s = max(self._own_until_s, until_s)
        self._own_ttl_s = ttl_s
        if granted:
            self.granted.note(now_s, granted)
        elif self._has_asked:
            self._denied_s = now_s

    def add_foreign(self, until_s: float, count: int, now_s: float) -> None:
        """Adds tokens of which nothing is reported."""
        self._foreign = [
            part for part in self._foreign if part[1] and now_s < part[0]
        ]
        self._foreign.append((until_s, count))

    def end_session(self, now_s: float) -> None:
        """Keeps the tokens, of which the next owner knows nothing."""
        self._foreign = [
            (until_s, count)
            for until_s, count in (
                *self._foreign,
                (self._own_until_s, self._own),
            )
            if count and now_s < until_s
        ]
        self._own = 0
        self._used = 0
        self._denied_s = -math.inf
        self._own_until_s = -math.inf

    def _count_foreign(self, now_s: float) -> int:
        if not self._foreign:
            return 0
        return sum(count for until_s, count in self._foreign if now_s < until_s)
