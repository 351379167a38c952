"""Tokens that a control instance keeps for nodes without an owner."""

import math

from cranberrymux.decisions.quotas import token_messages
from cranberrymux.decisions.quotas import token_stock

REFILL_INTERVAL_S = 0.5
# Part of the pool that one request may get, so that a few nodes that ask first
# do not leave nothing to others; at least one token.
TAKE_PART = 0.5


class _AccountPool:
    """Tokens of one account.

    Attributes:
        count: Tokens of the present session.
        until_s: Seconds until which they are valid.
        passed_on: Tokens passed on that the owner was not told of.
        earlier: Tokens of earlier sessions as (end of validity, count).
    """

    __slots__ = ("count", "earlier", "passed_on", "until_s")

    def __init__(self) -> None:
        self.count = 0
        self.until_s = -math.inf
        self.passed_on = 0
        self.earlier: list[tuple[float, int]] = []

    def drop_expired(self, now_s: float) -> None:
        if now_s >= self.until_s:
            self.count = 0
            self.passed_on = 0
        self.earlier = [part for part in self.earlier if now_s < part[0]]

    def end_session(self) -> None:
        if self.count:
            self.earlier.append((self.until_s, self.count))
        self.count = 0
        self.passed_on = 0
        self.until_s = -math.inf

    def take(self, wanted: int) -> tuple[int, float]:
        """Removes tokens; returns how many and the end of their validity."""
        held = self.count + sum(count for _, count in self.earlier)
        left = min(wanted, max(math.ceil(TAKE_PART * held), 0))
        taken = 0
        until_s = math.inf
        for index, (part_until_s, count) in enumerate(self.earlier):
            part = min(count, left)
            if part:
                self.earlier[index] = (part_until_s, count - part)
                until_s = min(until_s, part_until_s)
                taken += part
                left -= part
        part = min(self.count, left)
        if part:
            self.count -= part
            self.passed_on += part
            until_s = min(until_s, self.until_s)
            taken += part
        return taken, until_s


class StandbyPool:
    """Keeps tokens, which the owner counts as being at a node.

    Nodes that get no answer of the owner get them. Each is handed out once and
    not later than it is valid, so that the number of tokens that exist is what
    the owner counts. The owner decides how many of which account are here.
    All times are seconds on a clock that also counts the time for which the
    instance is suspended.
    """

    def __init__(self, name: str, session: int) -> None:
        """Starts without tokens.

        Args:
            name: Name of the control instance.
            session: Number of the first session; see `TokenStock`.
        """
        self._name = name
        self._session = session
        self._sequence = 0
        self._accounts: dict[str, _AccountPool] = {}
        self._unanswered: token_messages.TokenRequest | None = None
        self._sent_s = 0.0

    def count_tokens(self, now_s: float) -> int:
        """Returns how many tokens of all accounts are held."""
        self._drop_expired(now_s)
        return sum(
            pool.count + sum(count for _, count in pool.earlier)
            for pool in self._accounts.values()
        )

    # Exchange with the owner.

    def next_request(self, now_s: float) -> token_messages.TokenRequest:
        """Returns the request to send now, every `REFILL_INTERVAL_S`.

        Without an answer it is the same request as before, since the owner may
        have answered it.
        """
        if self._unanswered is not None:
            return self._unanswered
        self._drop_expired(now_s)
        self._sequence += 1
        rows = []
        for account, pool in self._accounts.items():
            if pool.passed_on:
                rows.append(token_messages.TokenRow(account, 0, pool.passed_on))
                pool.passed_on = 0
        self._sent_s = now_s
        self._unanswered = token_messages.TokenRequest(
            self._name,
            self._session,
            self._sequence,
            tuple(rows),
            is_standby=True,
        )
        return self._unanswered

    def apply_answer(
        self,
        request: token_messages.TokenRequest,
        answer: token_messages.TokenAnswer,
        now_s: float,
    ) -> None:
        """Adds the tokens of an answer; its rows renew those held before."""
        if request is not self._unanswered:
            return
        self._unanswered = None
        until_s = self._sent_s + answer.ttl_s
        self._drop_expired(now_s)
        if until_s <= now_s:
            self.start_session()
            return
        for row in answer.rows:
            pool = self._accounts.setdefault(row.account, _AccountPool())
            pool.count += max(row.tokens, 0)
            pool.until_s = max(pool.until_s, until_s)

    def note_refusal(
        self,
        request: token_messages.TokenRequest,
        refusal: token_messages.TokenRefusal,
    ) -> None:
        """Records that the owner refused a request."""
        if request is not self._unanswered:
            return
        if refusal is token_messages.TokenRefusal.OLD_REQUEST:
            # An earlier process had a clock that was ahead.
            self._session += token_stock.SESSION_SKIP
        self.start_session()

    def start_session(self) -> None:
        """Starts a new session, with another owner or one that forgot.

        Tokens that are held stay valid until they expire.
        """
        self._session += 1
        self._sequence = 0
        self._unanswered = None
        for pool in self._accounts.values():
            pool.end_session()

    # Requests of nodes.

    def take(
        self, rows: tuple[token_messages.TokenRow, ...], now_s: float
    ) -> token_messages.TokenAnswer:
        """Hands out tokens to a node that has got no answer of the owner.

        Args:
            rows: How many tokens of which accounts the node wants.
            now_s: Present time in seconds.

        Returns:
            The tokens, and the seconds for which all of them are valid.
        """
        self._drop_expired(now_s)
        taken = []
        until_s = math.inf
        for row in rows:
            pool = self._accounts.get(row.account)
            count = 0
            if pool is not None and row.tokens > 0:
                count, pool_until_s = pool.take(row.tokens)
                until_s = min(until_s, pool_until_s)
            taken.append(token_messages.TokenRow(row.account, count))
        ttl_s = 0.0 if math.isinf(until_s) else until_s - now_s
        return token_messages.TokenAnswer(tuple(taken), ttl_s)

    def _drop_expired(self, now_s: float) -> None:
        for account, pool in list(self._accounts.items()):
            pool.drop_expired(now_s)
            if not pool.count and not pool.passed_on and not pool.earlier:
                del self._accounts[account]
