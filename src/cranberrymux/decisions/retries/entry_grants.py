"""Retry budgets granted to requests at the entry node."""

import collections
from typing import NamedTuple

from cranberrymux.decisions.retries import retry_settings


class _Key(NamedTuple):
    principal: str
    request_id: str


class _Grant(NamedTuple):
    requested_s: float
    unspent: int


class EntryGrants:
    """Grants one retry budget to each request id, however often it is resent.

    A resend gets what the earlier runs returned unspent, and nothing while an
    earlier run is in progress. At most `maximum_grants` grants are kept. When
    all of them are younger than `grant_age_s`, a new request gets no budget:
    evicting a grant instead would give an old request a second budget.
    """

    def __init__(self, settings: retry_settings.RetrySettings) -> None:
        """Creates a table without grants."""
        self._settings = settings
        self._grants: collections.OrderedDict[_Key, _Grant] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of stored grants."""
        return len(self._grants)

    def grant(self, now_s: float, principal: str, request_id: str) -> int:
        """Returns the retry budget with which a run of a request starts.

        Args:
            now_s: Monotonic seconds.
            principal: Principal that sent the request.
            request_id: Id of the request, the same on a resend.

        Returns:
            Retries from 0 to `root_budget`.
        """
        self._expire(now_s)
        key = _Key(principal, request_id)
        known = self._grants.get(key)
        if known is not None:
            self._grants[key] = _Grant(now_s, 0)
            self._grants.move_to_end(key)
            return known.unspent
        if len(self._grants) >= self._settings.maximum_grants:
            return 0
        self._grants[key] = _Grant(now_s, 0)
        return self._settings.root_budget

    def give_back(self, principal: str, request_id: str, unspent: int) -> None:
        """Stores the unspent budget of a run for a resend of the request.

        Args:
            principal: Principal that sent the request.
            request_id: Id of the request.
            unspent: Retries returned by `BudgetLedger.close`.
        """
        key = _Key(principal, request_id)
        known = self._grants.get(key)
        if known is None:
            return
        total = min(known.unspent + max(unspent, 0), self._settings.root_budget)
        self._grants[key] = known._replace(unspent=total)

    def _expire(self, now_s: float) -> None:
        expired_s = now_s - self._settings.grant_age_s
        while self._grants:
            key, first = next(iter(self._grants.items()))
            if first.requested_s > expired_s:
                return
            del self._grants[key]
