"""The quota token of one request."""

from collections.abc import Callable

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import token_stock
from cranberrymux.gateway import quota_task
from cranberrymux.gateway import quota_waiter

# A request waits for a token for this part of its latency objective at most. To
# be answered a little later is better for a caller than to come back.
WAIT_PER_OBJECTIVE = 0.5
MAXIMUM_WAIT_S = 0.3
# While there is no owner, it waits for this part of the time that is left, as
# another owner starts soon. An answer after the objective is better than none.
SILENT_WAIT_PER_TIME_LEFT = 0.5
MAXIMUM_SILENT_WAIT_S = 2.0


class EntryQuota:
    """Takes a token for each run of a request, and gives back what is not used.

    Requests that count against no quota share `UNLIMITED`.

    Attributes:
        has_waited: True once the request had to wait for a token.
    """

    def __init__(
        self,
        tokens: quota_task.QuotaTask | None,
        account: client_account.ClientAccount | None,
        objective_s: float,
        left_s: float,
    ) -> None:
        """Starts without a token.

        Args:
            tokens: The node's tokens; None only without an account.
            account: Account whose quota the request counts against; None for
                none.
            objective_s: Latency objective of the request in seconds.
            left_s: Seconds until the deadline of the request.
        """
        self._tokens = tokens
        self._account = account
        self._wait_s = min(WAIT_PER_OBJECTIVE * objective_s, MAXIMUM_WAIT_S)
        self._silent_wait_s = min(
            SILENT_WAIT_PER_TIME_LEFT * left_s, MAXIMUM_SILENT_WAIT_S
        )
        self._ticket: token_stock.TokenTicket | None = None
        self._waiter: quota_waiter.QuotaWaiter | None = None
        self.has_waited = False

    @property
    def retry_delay_s(self) -> float:
        """Seconds after which there can be a token, drawn at random."""
        if self._account is None or self._tokens is None:
            return 0.0
        return self._tokens.draw_retry_delay_s(self._account)

    def take(
        self, on_granted: Callable[[], None], on_refused: Callable[[str], None]
    ) -> None:
        """Takes a token, at once or after a wait.

        Args:
            on_granted: Called when the request may run.
            on_refused: Called with the cause if it may not.
        """
        account = self._account
        tokens = self._tokens
        if account is None or tokens is None:
            on_granted()
            return
        ticket = tokens.take(account.name)
        if ticket is not None:
            self._ticket = ticket
            on_granted()
            return

        def handle_granted(ticket: token_stock.TokenTicket) -> None:
            self._waiter = None
            self._ticket = ticket
            on_granted()

        def handle_refused(cause: str) -> None:
            self._waiter = None
            on_refused(cause)

        self.has_waited = True
        self._waiter = quota_waiter.QuotaWaiter(
            account,
            handle_granted,
            handle_refused,
            max(self._silent_wait_s - self._wait_s, 0.0),
        )
        tokens.wait(self._waiter, self._wait_s)

    def note_run(self) -> None:
        """Records that the request ran, so that its token is spent."""
        self._ticket = None

    def release(self) -> None:
        """Ends a wait, and gives back a token that was not used."""
        if self._tokens is None:
            return
        if self._waiter is not None:
            self._tokens.cancel(self._waiter)
            self._waiter = None
        if self._ticket is not None:
            self._tokens.give_back(self._ticket)
            self._ticket = None


UNLIMITED = EntryQuota(None, None, 0.0, 0.0)
