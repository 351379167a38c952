"""Budgets granted to requests at their entry."""

import collections
from typing import NamedTuple

from cranberrymux.decisions.retries import retry_settings


class _Key(NamedTuple):
    principal: str
    request_id: str


class _Grant(NamedTuple):
    asked_s: float
    left: int


class EntryGrants:
    """Grants each request id one budget, however often it is sent again.

    A resend gets what the earlier runs gave back, and nothing while one runs.
    Memory is bounded: when it is full of grants that still count, a new
    request gets no budget rather than an old one a second.
    """

    def __init__(self, settings: retry_settings.RetrySettings) -> None:
        """Starts without grants."""
        self._settings = settings
        self._grants: collections.OrderedDict[_Key, _Grant] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Number of grants remembered."""
        return len(self._grants)

    def grant(self, now_s: float, principal: str, request_id: str) -> int:
        """Returns the budget with which a request begins.

        Args:
            now_s: Monotonic seconds.
            principal: Who asks.
            request_id: Id of the request, the same on a resend.
        """
        self._expire(now_s)
        key = _Key(principal, request_id)
        known = self._grants.get(key)
        if known is not None:
            self._grants[key] = _Grant(now_s, 0)
            self._grants.move_to_end(key)
            return known.left
        if len(self._grants) >= self._settings.grants_maximum:
            return 0
        self._grants[key] = _Grant(now_s, 0)
        return self._settings.root_budget

    def give_back(self, principal: str, request_id: str, unspent: int) -> None:
        """Keeps what a run of the request did not spend for a resend.

        Args:
            principal: Who asked.
            request_id: Id of the request.
            unspent: Result of the ledger's `close`.
        """
        key = _Key(principal, request_id)
        known = self._grants.get(key)
        if known is None:
            return
        left = min(known.left + max(unspent, 0), self._settings.root_budget)
        self._grants[key] = known._replace(left=left)

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._settings.grant_age_s
        while self._grants:
            key, first = next(iter(self._grants.items()))
            if first.asked_s > oldest_s:
                return
            del self._grants[key]
