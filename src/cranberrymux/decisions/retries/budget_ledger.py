"""Retry budget of one call that a node is running."""

from cranberrymux.decisions.retries import allotment_policy
from cranberrymux.decisions.retries import half_allotment

MAXIMUM_OPEN_SHARES = 1024


class BudgetLedger:
    """Splits the retry budget of a call among its child calls.

    The sum of spent retries, shares held by child calls and remaining retries
    never exceeds the granted budget. A share whose answer never arrives is
    lost, because its child call may have spent it.
    """

    __slots__ = ("_closed", "_policy", "_remaining", "_shares")

    def __init__(
        self,
        budget: int,
        policy: allotment_policy.AllotmentPolicy | None = None,
    ) -> None:
        """Creates a ledger with the whole budget remaining.

        Args:
            budget: Retries granted to the call; below 0 counts as 0.
            policy: Decides the share of each child call; half of what remains
                by default.
        """
        self._remaining = max(budget, 0)
        self._policy = policy or half_allotment.HalfAllotment()
        self._shares: dict[tuple[str, int], int] = {}
        self._closed = False

    @property
    def remaining(self) -> int:
        """Retries that can be spent or allotted now; 0 once closed."""
        return 0 if self._closed else self._remaining

    def allot(self, now_s: float, child_call_id: str, attempt: int = 1) -> int:
        """Reserves a share of the budget for an attempt of a child call.

        Args:
            now_s: Monotonic seconds.
            child_call_id: Id of the child call.
            attempt: Number of the attempt, from 1; each attempt holds its own
                share.

        Returns:
            The retry budget for the attempt's context; 0 if closed, if the
            attempt has a share already or if `MAXIMUM_OPEN_SHARES` are held.
        """
        del now_s
        key = (child_call_id, attempt)
        if (
            self._closed
            or key in self._shares
            or len(self._shares) >= MAXIMUM_OPEN_SHARES
        ):
            return 0
        share = min(
            max(self._policy.share(self._remaining), 0), self._remaining
        )
        if share:
            self._shares[key] = share
            self._remaining -= share
        return share

    def give_back(
        self, child_call_id: str, unspent: int, attempt: int = 1
    ) -> None:
        """Returns the unspent part of an attempt's share to the budget.

        A share is returned once; later calls for it change nothing.

        Args:
            child_call_id: Id of the child call.
            unspent: Unspent retries as reported by the answer; limited to 0
                up to the share.
            attempt: Number of the attempt, from 1.
        """
        share = self._shares.pop((child_call_id, attempt), 0)
        self._remaining += min(max(unspent, 0), share)

    def spend(self) -> bool:
        """Spends one retry on a further attempt of a child call.

        Returns:
            True if a retry was spent; False if none remains, and then the
            attempt must not be made.
        """
        if self._closed or self._remaining == 0:
            return False
        self._remaining -= 1
        return True

    def close(self) -> int:
        """Closes the ledger; nothing is allotted or spent afterwards.

        Returns:
            The unspent retries to report in the call's answer; 0 if already
            closed.
        """
        unspent = self.remaining
        self._closed = True
        return unspent
