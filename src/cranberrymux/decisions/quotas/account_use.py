"""The use of one account's quota, as operators see it."""

from typing import NamedTuple


class AccountUse(NamedTuple):
    """Use of one account's quota, for operators.

    Attributes:
        account: Name of the account.
        per_s: Its rate.
        burst: Its burst.
        bucket: Tokens in the bucket.
        out: Tokens at nodes, and at control instances for nodes without an
            owner.
        spent: Tokens spent since this owner started.
        lapsed: Tokens that expired without a report since then: at nodes that
            were lost, or after they were kept or passed on by another control
            instance.
        denied: Messages for waiting requests that got none since then.
    """

    account: str
    per_s: float
    burst: float
    bucket: float
    out: int
    spent: int
    lapsed: int
    denied: int
