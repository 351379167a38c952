"""Hands out the tokens of all accounts to the nodes."""

from collections.abc import Iterable

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import account_tokens
from cranberrymux.decisions.quotas import account_use
from cranberrymux.decisions.quotas import node_session
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.quotas import standby_grants
from cranberrymux.decisions.quotas import token_messages

# Tokens count for longer here than at nodes by this part and these seconds, in
# case the clocks of two instances run at different rates.
EXPIRY_RATIO = 1.02
EXPIRY_MARGIN_S = 0.02
# A node without a request for this long gets a new session with the next one.
SESSION_RETENTION_S = 30.0
MAXIMUM_ROWS = 1000


class TokenAllocator:
    """The owner of all tokens.

    For each account, the tokens in the bucket and the valid ones at nodes are
    never more than the capacity of `QuotaSettings`, and new ones come at the
    rate of the account at most. So in any window no more run than the capacity
    and the rate allow.
    """

    def __init__(
        self, settings: quota_settings.QuotaSettings, now_s: float
    ) -> None:
        """Starts with empty buckets.

        Args:
            settings: Bounds.
            now_s: Present time in seconds, on a clock that also counts the
                time for which the instance is suspended. All grants of an
                earlier owner must have been made before.
        """
        self._settings = settings
        self._start_s = now_s
        self._handover_until_s = now_s + _extend(settings.ttl_s)
        self._limits: dict[str, client_account.ClientAccount] = {}
        self._since_s: dict[str, float] = {}
        self._accounts: dict[str, account_tokens.AccountTokens] = {}
        self._sessions: dict[str, node_session.NodeSession] = {}
        self._standbys = standby_grants.StandbyGrants(settings)

    @property
    def session_count(self) -> int:
        """Number of nodes with a session."""
        return len(self._sessions)

    def set_accounts(
        self, accounts: Iterable[client_account.ClientAccount], now_s: float
    ) -> None:
        """Puts the limits of a configuration in force.

        A bucket fills at a higher rate from now on only, and a lower capacity
        takes effect at once.

        Args:
            accounts: All accounts of the configuration.
            now_s: Present time in seconds.
        """
        previous = self._limits
        for name, tokens in self._accounts.items():
            self._settle(name, tokens, now_s)
        self._limits = {account.name: account for account in accounts}
        self._since_s = {
            name: self._get_since_s(previous.get(name), account, now_s)
            for name, account in self._limits.items()
            if account.is_limited
        }
        for name, tokens in self._accounts.items():
            account = self._limits.get(name)
            if account is not None and account.is_limited:
                tokens.per_s = account.per_s
                tokens.burst = account.burst
            self._settle(name, tokens, now_s)

    def take(
        self,
        request: token_messages.TokenRequest,
        now_s: float,
        lease_left_s: float,
    ) -> token_messages.TokenAnswer | token_messages.TokenRefusal:
        """Answers the request of a node.

        Args:
            request: The request.
            now_s: Present time in seconds.
            lease_left_s: Seconds for which no other owner can start.
        """
        rows = request.rows[:MAXIMUM_ROWS]
        for row in rows:
            tokens = self._accounts.get(row.account)
            if tokens is not None:
                self._settle(row.account, tokens, now_s)
        session = self._sessions.get(request.node_id)
        if session is None or request.session > session.number:
            if request.sequence != 1:
                return token_messages.TokenRefusal.UNKNOWN_SESSION
            session = node_session.NodeSession(
                request.session, request.is_standby
            )
            self._sessions[request.node_id] = session
        if request.session < session.number:
            return token_messages.TokenRefusal.OLD_REQUEST
        if request.sequence < session.sequence:
            return token_messages.TokenRefusal.OLD_REQUEST
        if request.sequence == session.sequence:
            return session.answer
        if request.sequence > session.sequence + 1:
            del self._sessions[request.node_id]
            return token_messages.TokenRefusal.UNKNOWN_SESSION
        session.sequence = request.sequence
        session.heard_s = now_s
        holder = account_tokens.Holder(request.node_id, request.session)
        if request.is_standby:
            session.answer = self._answer_standby(
                holder, request._replace(rows=rows), now_s
            )
        else:
            session.answer = self._answer(holder, rows, now_s, lease_left_s)
        return session.answer

    def sweep(self, now_s: float) -> None:
        """Removes what is no longer needed; expects a call every second."""
        for name, tokens in list(self._accounts.items()):
            self._settle(name, tokens, now_s)
            if name not in self._limits and not tokens.out:
                del self._accounts[name]
        for node_id, session in list(self._sessions.items()):
            if now_s - session.heard_s > SESSION_RETENTION_S:
                del self._sessions[node_id]

    def describe(self) -> list[account_use.AccountUse]:
        """Returns the use of all accounts that were requested."""
        return [
            account_use.AccountUse(
                name,
                tokens.per_s,
                tokens.burst,
                round(tokens.bucket, 3),
                tokens.out,
                tokens.spent,
                tokens.lapsed,
                tokens.denied,
            )
            for name, tokens in sorted(self._accounts.items())
        ]

    def _answer(
        self,
        holder: account_tokens.Holder,
        rows: tuple[token_messages.TokenRow, ...],
        now_s: float,
        lease_left_s: float,
    ) -> token_messages.TokenAnswer:
        ttl_s = self._settings.ttl_s
        if now_s < self._handover_until_s:
            # A further owner does not know these tokens, and could start before
            # those of the owner before this one have expired.
            ttl_s = min(ttl_s, lease_left_s)
        answered = []
        for row in rows:
            granted = self._grant(holder, row, now_s, now_s + _extend(ttl_s))
            answered.append(token_messages.TokenRow(row.account, granted))
        return token_messages.TokenAnswer(tuple(answered), ttl_s)

    def _answer_standby(
        self,
        holder: account_tokens.Holder,
        request: token_messages.TokenRequest,
        now_s: float,
    ) -> token_messages.TokenAnswer:
        """Records what a pool passed on, and fills it up."""
        standby_grants.record_passed_on(holder, request, self._accounts, now_s)
        ttl_s = self._settings.ttl_s
        if now_s < self._handover_until_s:
            # These tokens would end with the lease, when they are needed.
            return token_messages.TokenAnswer((), ttl_s)
        self._standbys.note_heard(holder.node_id, now_s)
        used = [(name, each.used_s) for name, each in self._accounts.items()]
        answered = []
        for name in self._standbys.choose(used, now_s):
            account = self._limits.get(name)
            if account is None or not account.is_limited:
                continue
            tokens = self._accounts[name]
            self._settle(name, tokens, now_s)
            if tokens.out > self._get_maximum_out(tokens):
                # Tokens from before the limit was lowered must expire.
                continue
            granted = tokens.grant(
                holder,
                self._standbys.get_wanted(tokens),
                is_urgent=False,
                reserve=self._standbys.get_reserve(tokens),
                maximum_out=self._get_maximum_out(tokens),
            )
            tokens.renew(holder, now_s + _extend(ttl_s))
            answered.append(token_messages.TokenRow(name, granted))
        return token_messages.TokenAnswer(tuple(answered), ttl_s)

    def _grant(
        self,
        holder: account_tokens.Holder,
        row: token_messages.TokenRow,
        now_s: float,
        until_s: float,
    ) -> int:
        account = self._limits.get(row.account)
        if account is not None and not account.is_limited:
            return max(row.tokens, 0)
        tokens = self._accounts.get(row.account)
        if tokens is None:
            if account is None:
                return 0
            tokens = self._start_account(account, now_s)
        tokens.used_s = now_s
        wanted = max(row.tokens, 0) if account is not None else 0
        capacity = self._get_capacity(account, now_s)
        tokens.report(holder, row.used, wanted, capacity)
        granted = tokens.grant(
            holder,
            wanted,
            is_urgent=row.is_urgent,
            reserve=self._settings.get_reserve(tokens.per_s, tokens.burst),
            maximum_out=self._get_maximum_out(tokens),
        )
        tokens.renew(holder, until_s)
        return granted

    def _get_maximum_out(self, tokens: account_tokens.AccountTokens) -> float:
        return self._settings.get_maximum_out(tokens.per_s, tokens.burst)

    def _start_account(
        self, account: client_account.ClientAccount, now_s: float
    ) -> account_tokens.AccountTokens:
        since_s = max(self._start_s, self._since_s[account.name])
        tokens = account_tokens.AccountTokens(
            account.per_s, account.burst, since_s
        )
        self._accounts[account.name] = tokens
        self._settle(account.name, tokens, now_s)
        return tokens

    def _settle(
        self, name: str, tokens: account_tokens.AccountTokens, now_s: float
    ) -> None:
        capacity = self._get_capacity(self._limits.get(name), now_s)
        for holder in tokens.settle(now_s, capacity):
            session = self._sessions.get(holder.node_id)
            if session is None or session.number != holder.session:
                continue
            if not session.is_standby:
                # What the node reports next may concern the lapsed tokens.
                del self._sessions[holder.node_id]

    def _get_capacity(
        self, account: client_account.ClientAccount | None, now_s: float
    ) -> float:
        if account is None or not account.is_limited:
            return 0.0
        if now_s < self._handover_until_s:
            return self._settings.get_handover_capacity(
                account.per_s, account.burst
            )
        return self._settings.get_capacity(account.per_s, account.burst)

    def _get_since_s(
        self,
        previous: client_account.ClientAccount | None,
        account: client_account.ClientAccount,
        now_s: float,
    ) -> float:
        """Returns the time from which an account's bucket fills."""
        if not self._limits or previous is None:
            return now_s
        is_same = (previous.per_s, previous.burst) == (
            account.per_s,
            account.burst,
        )
        return self._since_s[account.name] if is_same else now_s


def _extend(ttl_s: float) -> float:
    return EXPIRY_RATIO * ttl_s + EXPIRY_MARGIN_S
