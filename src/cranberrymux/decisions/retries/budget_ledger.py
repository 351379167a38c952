"""The retry budget of one call in flight at a node."""

from cranberrymux.decisions.retries import allotment_policy
from cranberrymux.decisions.retries import half_allotment

MAXIMUM_OPEN_SHARES = 1024


class BudgetLedger:
    """Splits a call's budget over its child calls and their retries.

    What is spent, what the children hold and what remains never exceed the
    budget granted. A share whose answer never comes is lost.
    """

    __slots__ = ("_closed", "_policy", "_remaining", "_shares")

    def __init__(
        self,
        budget: int,
        policy: allotment_policy.AllotmentPolicy | None = None,
    ) -> None:
        """Starts with the whole budget.

        Args:
            budget: Retries granted to the call.
            policy: How children share it.
        """
        self._remaining = max(budget, 0)
        self._policy = policy or half_allotment.HalfAllotment()
        self._shares: dict[tuple[str, int], int] = {}
        self._closed = False

    @property
    def remaining(self) -> int:
        """Retries that can be spent or allotted now."""
        return 0 if self._closed else self._remaining

    def allot(self, now_s: float, child_call_id: str, attempt: int = 1) -> int:
        """Gives a share to an attempt of a child call.

        Args:
            now_s: Monotonic seconds.
            child_call_id: The child call.
            attempt: Its attempt; each attempt holds a share of its own.

        Returns:
            The retry budget for the attempt's context.
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
        """Takes back what an attempt did not spend; once for each share.

        Args:
            child_call_id: The child call.
            unspent: As told on its answer; more than its share counts as its
                share.
            attempt: Its attempt.
        """
        share = self._shares.pop((child_call_id, attempt), 0)
        self._remaining += min(max(unspent, 0), share)

    def spend(self) -> bool:
        """Takes one retry for a further attempt of a child call.

        Returns:
            False if none remains; the attempt may not be made.
        """
        if self._closed or self._remaining == 0:
            return False
        self._remaining -= 1
        return True

    def close(self) -> int:
        """Ends the call; nothing is allotted or spent from then on.

        Returns:
            The unspent budget for the call's answer; 0 if closed before.
        """
        unspent = self.remaining
        self._closed = True
        return unspent
