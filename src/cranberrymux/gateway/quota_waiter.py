"""A request that waits for a token of its account."""

from collections.abc import Callable
from typing import Any

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import token_stock

NO_ANSWER = "no answer of the owner of the quotas in time"


class QuotaWaiter:
    """A request that waits for a token.

    Attributes:
        account: Its account.
        cause: Why it gets no token, if it is refused.
        is_asked: True once a message that counts it was sent to the owner.
        on_granted: Called with the ticket.
        on_refused: Called with the cause if it gets no token.
        extra_wait_s: Seconds for which it waits on while there is no owner.
        timer: Ends the wait.
    """

    def __init__(
        self,
        account: client_account.ClientAccount,
        on_granted: Callable[[token_stock.TokenTicket], None],
        on_refused: Callable[[str], None],
        extra_wait_s: float,
    ) -> None:
        """Starts to wait; the timer is set by the caller."""
        self.account = account
        self.cause = NO_ANSWER
        self.is_asked = False
        self.on_granted = on_granted
        self.on_refused = on_refused
        self.extra_wait_s = extra_wait_s
        self.timer: Any = None
