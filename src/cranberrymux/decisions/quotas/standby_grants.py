"""How many tokens the owner keeps at other control instances."""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq

from cranberrymux.decisions.quotas import account_tokens
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.quotas import token_messages

# Time without an owner for which the pools last at the full rate of an account.
POOL_S = 1.0
# Part of the tokens that may be at nodes for all pools of an account. The pools
# serve every node, so that they need fewer than stocks at each node would.
POOL_SHARE = 0.5
# An account without a request for this long needs no pool.
ACTIVE_S = 5.0
# One answer to a pool takes the owner 5 to 7 ms with this many of 10,000.
MAXIMUM_ACCOUNTS = 300
# Part of all tokens that stays in the bucket when a pool is filled. An account
# that exceeds its quota needs all of them: with 0.2, it is refused 1% of its
# quota. With 0.3, pools are too small for an account that moves between nodes.
RESERVE_SHARE = 0.25


def record_passed_on(
    holder: account_tokens.Holder,
    request: token_messages.TokenRequest,
    accounts: Mapping[str, account_tokens.AccountTokens],
    now_s: float,
) -> None:
    """Records what a control instance passed on to nodes.

    Args:
        holder: Its session.
        request: Its request.
        accounts: Tokens of all accounts.
        now_s: Present time in seconds.
    """
    receiver = account_tokens.Holder(
        f"{holder.node_id} passed on {request.sequence}", holder.session
    )
    for row in request.rows:
        tokens = accounts.get(row.account)
        if tokens is not None:
            tokens.used_s = now_s
            tokens.pass_on(holder, receiver, row.used)


class StandbyGrants:
    """The control instances that keep pools, and what they get."""

    def __init__(self, settings: quota_settings.QuotaSettings) -> None:
        """Starts without pools."""
        self._settings = settings
        self._heard_s: dict[str, float] = {}

    def note_heard(self, name: str, now_s: float) -> None:
        """Records a request of a control instance."""
        self._heard_s[name] = now_s
        for other, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > self._settings.ttl_s:
                del self._heard_s[other]

    def choose(
        self, accounts: Iterable[tuple[str, float]], now_s: float
    ) -> list[str]:
        """Returns the accounts that need pools, those last used first.

        Args:
            accounts: Name of each account and time of its last request.
            now_s: Present time in seconds.
        """
        active = [
            (-used_s, name)
            for name, used_s in accounts
            if now_s - used_s <= ACTIVE_S
        ]
        return [name for _, name in heapq.nsmallest(MAXIMUM_ACCOUNTS, active)]

    def get_reserve(self, tokens: account_tokens.AccountTokens) -> float:
        """Returns how many tokens of an account pools must leave."""
        return RESERVE_SHARE * self._settings.get_capacity(
            tokens.per_s, tokens.burst
        )

    def get_wanted(self, tokens: account_tokens.AccountTokens) -> int:
        """Returns how many tokens of an account each pool should hold."""
        maximum = POOL_SHARE * self._settings.get_maximum_out(
            tokens.per_s, tokens.burst
        )
        total = min(POOL_S * tokens.per_s, maximum)
        return max(round(total / max(len(self._heard_s), 1)), 1)
