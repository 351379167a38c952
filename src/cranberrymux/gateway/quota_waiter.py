"""A request that waits for a token of its account."""

from collections.abc import Callable
from typing import Any

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import token_stock


class QuotaWaiter:
    """A request that waits for a token.

    Attributes:
        account: Its account.
        is_asked: True once a message that counts it was sent to the owner.
        on_granted: Called with the ticket.
        on_refused: Called with the cause if it gets no token.
        timer: Ends the wait.
    """

    def __init__(
        self,
        account: client_account.ClientAccount,
        on_granted: Callable[[token_stock.TokenTicket], None],
        on_refused: Callable[[str], None],
    ) -> None:
        """Starts to wait; the timer is set by the caller."""
        self.account = account
        self.is_asked = False
        self.on_granted = on_granted
        self.on_refused = on_refused
        self.timer: Any = None
