"""The tokens of one account, as their owner counts them."""

import heapq
import math
from typing import NamedTuple

# Parts of what is left that one request may get.
STOCK_PART = 0.5
URGENT_PART = 0.125


class Holder(NamedTuple):
    """One session of a node.

    Attributes:
        node_id: Name of the node.
        session: Number of the session.
    """

    node_id: str
    session: int


class Holding:
    """Tokens that a holder may still spend.

    Attributes:
        count: Upper bound on the number of tokens.
        until_s: Seconds at which none of them is valid any more.
    """

    __slots__ = ("count", "until_s")

    def __init__(self) -> None:
        """Starts without tokens."""
        self.count = 0
        self.until_s = -math.inf


class AccountTokens:
    """A token bucket and the tokens that were taken from it.

    The bucket fills at the account's rate while it and the tokens at nodes
    together are below a capacity. Tokens that expire without a report may have
    been spent, so that they do not return to the bucket.

    Attributes:
        per_s: Rate at which the bucket fills.
        burst: Burst of the account.
        spent: Tokens reported as spent, since the start.
        lapsed: Tokens that expired without a report, since the start.
        denied: Urgent requests that got none.
        used_s: Time of the last request of a node.
    """

    def __init__(self, per_s: float, burst: float, now_s: float) -> None:
        """Starts with an empty bucket.

        Args:
            per_s: Rate at which the bucket fills.
            burst: Burst of the account.
            now_s: Seconds from which on it fills.
        """
        self.per_s = per_s
        self.burst = burst
        self.spent = 0
        self.lapsed = 0
        self.denied = 0
        self.used_s = now_s
        self._bucket = 0.0
        self._out = 0
        self._settled_s = now_s
        self._holdings: dict[Holder, Holding] = {}
        # A holding has one entry, whose time is at most its `until_s`.
        self._expiries: list[tuple[float, Holder]] = []

    @property
    def bucket(self) -> float:
        """Tokens in the bucket at the last `settle`."""
        return self._bucket

    @property
    def out(self) -> int:
        """Upper bound on the valid tokens at nodes."""
        return self._out

    def get_held(self, holder: Holder) -> int:
        """Returns how many tokens a holder may have."""
        holding = self._holdings.get(holder)
        return 0 if holding is None else holding.count

    def settle(self, now_s: float, capacity: float) -> list[Holder]:
        """Fills the bucket and ends expired tokens.

        Args:
            now_s: Present time in seconds.
            capacity: Tokens that may exist, in the bucket and at nodes.

        Returns:
            The holders whose tokens expired without a report.
        """
        elapsed_s = max(now_s - self._settled_s, 0.0)
        self._settled_s = max(now_s, self._settled_s)
        self._fill(self.per_s * elapsed_s, capacity)
        return self._expire(now_s)

    def report(
        self, holder: Holder, used: int, wanted: int, capacity: float
    ) -> None:
        """Records what a holder spent, and takes back what it has too many.

        Args:
            holder: The holder; none of its tokens may have lapsed.
            used: Tokens spent, less those taken back from refused requests.
            wanted: Tokens that it holds at most from now on.
            capacity: Tokens that may exist, in the bucket and at nodes.
        """
        self.spent += used
        holding = self._holdings.get(holder)
        if holding is None:
            if used >= 0:
                return
            holding = self._get_holding(holder)
        self._change(holding, -min(used, holding.count))
        excess = holding.count - wanted
        if excess > 0:
            self._change(holding, -excess)
            self._fill(excess, capacity)

    def pass_on(self, holder: Holder, receiver: Holder, passed: int) -> None:
        """Records tokens that a holder passed on.

        They count as out until those of the holder at most expire, and are not
        renewed with them.

        Args:
            holder: The holder.
            receiver: Stands for all that got them; new with each call.
            passed: Number of tokens.
        """
        holding = self._holdings.get(holder)
        if holding is None:
            return
        count = min(passed, holding.count)
        self._change(holding, -count)
        self._change(self._get_holding(receiver), count)
        self.renew(receiver, holding.until_s)

    def grant(
        self,
        holder: Holder,
        wanted: int,
        *,
        is_urgent: bool,
        reserve: float,
        maximum_out: float,
    ) -> int:
        """Hands out tokens; returns how many.

        No holder gets all that is left at once. The reserve keeps tokens for
        nodes at which requests wait, so that stocks at some nodes do not use up
        what others need.

        Args:
            holder: The holder.
            wanted: Tokens that it wants to hold.
            is_urgent: True if requests wait for them.
            reserve: Tokens, of the bucket and of those that may be at nodes,
                that only urgent requests may get.
            maximum_out: Tokens that may be at nodes.
        """
        missing = wanted - self.get_held(holder)
        if missing <= 0:
            return 0
        left = min(self._bucket, maximum_out - self._out)
        allowed = _get_part(left - reserve, STOCK_PART)
        if is_urgent:
            allowed = max(allowed, _get_part(left, URGENT_PART))
        granted = min(missing, allowed)
        if granted:
            self._bucket -= granted
            self._change(self._get_holding(holder), granted)
        elif is_urgent:
            self.denied += 1
        return granted

    def renew(self, holder: Holder, until_s: float) -> None:
        """Extends the validity of all tokens of a holder."""
        holding = self._holdings.get(holder)
        if holding is None:
            return
        is_new = math.isinf(holding.until_s)
        holding.until_s = max(holding.until_s, until_s)
        if is_new:
            heapq.heappush(self._expiries, (holding.until_s, holder))

    def _get_holding(self, holder: Holder) -> Holding:
        return self._holdings.setdefault(holder, Holding())

    def _change(self, holding: Holding, change: int) -> None:
        holding.count += change
        self._out += change

    def _fill(self, tokens: float, capacity: float) -> None:
        room = max(capacity - self._out, 0.0)
        self._bucket = min(self._bucket + tokens, room)

    def _expire(self, now_s: float) -> list[Holder]:
        lapsed = []
        while self._expiries and self._expiries[0][0] <= now_s:
            _, holder = heapq.heappop(self._expiries)
            holding = self._holdings[holder]
            if holding.until_s > now_s:
                heapq.heappush(self._expiries, (holding.until_s, holder))
                continue
            del self._holdings[holder]
            if holding.count:
                lapsed.append(holder)
                self.lapsed += holding.count
                self._out -= holding.count
        return lapsed


def _get_part(tokens: float, part: float) -> int:
    """Returns a part of the tokens, at least one if there is one."""
    return 0 if tokens < 1.0 else max(1, int(part * tokens))
