"""The tokens that a node holds, and its exchange with their owner."""

from collections.abc import Callable
from collections.abc import Iterable
import copy
import itertools
import math
from typing import NamedTuple

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import account_stock
from cranberrymux.decisions.quotas import token_messages

MINIMUM_INTERVAL_S = 0.02
# Without a request that waits, messages are rarer, so that one is free for it.
ROUTINE_INTERVAL_S = 0.1
MAXIMUM_ROWS = 200
MAXIMUM_RETRY_DELAY_S = 10.0
MINIMUM_RETRY_DELAY_S = 0.1
_NO_SESSION = -1
SESSION_SKIP = 86_400_000  # Milliseconds; more than a clock is set back.


class TokenTicket(NamedTuple):
    """A token that was spent.

    Attributes:
        account: Name of the account.
        session: Session in which it was spent; -1 for a token of an earlier
            session or of a pool.
    """

    account: str
    session: int


class _SentRequest(NamedTuple):
    """A request without an answer so far."""

    request: token_messages.TokenRequest
    sent_s: float


class TokenStock:
    """Spends tokens and decides when to ask the owner for more.

    All times are seconds on a clock that also counts the time for which the
    instance is suspended.
    """

    def __init__(self, node_id: str, session: int) -> None:
        """Starts without tokens.

        Args:
            node_id: Name of the node.
            session: Number of the first session; higher than all sessions of
                earlier processes of the node, for example Unix milliseconds.
        """
        self._node_id = node_id
        self._session = session
        self._sequence = 0
        self._accounts: dict[str, account_stock.AccountStock] = {}
        self._unanswered: _SentRequest | None = None
        self._is_outstanding = False
        self._last_sent_s = -math.inf

    @property
    def account_count(self) -> int:
        """Number of accounts of which anything is known."""
        return len(self._accounts)

    def count_tokens(self, now_s: float) -> int:
        """Returns how many tokens of all accounts are held."""
        return sum(stock.get_held(now_s) for stock in self._accounts.values())

    def get_held(self, account: str, now_s: float) -> int:
        """Returns how many tokens of one account are held."""
        stock = self._accounts.get(account)
        return 0 if stock is None else stock.get_held(now_s)

    def copy_account(self, account: str) -> "TokenStock":
        """Returns a stock that has its own copy of one account only."""
        copied = TokenStock(self._node_id, self._session)
        if account in self._accounts:
            copied._accounts[account] = copy.deepcopy(self._accounts[account])
        return copied

    def note_arrival(self, account: str, now_s: float) -> None:
        """Counts a request in the demand of its account."""
        self._get_account(account, now_s).note_arrival(now_s)

    def take(self, account: str, now_s: float) -> TokenTicket | None:
        """Spends a token; returns None if there is none."""
        stock = self._get_account(account, now_s)
        if stock.take_foreign(now_s):
            return TokenTicket(account, _NO_SESSION)
        if stock.take(now_s):
            return TokenTicket(account, self._session)
        return None

    def give_back(self, ticket: TokenTicket, now_s: float) -> None:
        """Takes back a token whose request did not run.

        One of an earlier session or of a pool is dropped, since the owner may
        have counted it as lost.
        """
        if ticket.session == self._session:
            self._get_account(ticket.account, now_s).give_back(now_s)

    def make_pool_rows(
        self, accounts: Iterable[str], now_s: float
    ) -> tuple[token_messages.TokenRow, ...]:
        """Returns what to request of a pool for requests that wait.

        Args:
            accounts: Accounts of these requests; those after the first
                `MAXIMUM_ROWS` are left out.
            now_s: Present time in seconds.
        """
        return tuple(
            token_messages.TokenRow(
                name, self._get_account(name, now_s).get_pool_wanted(now_s)
            )
            for name in itertools.islice(accounts, MAXIMUM_ROWS)
        )

    def change_waiting(self, account: str, change: int, now_s: float) -> None:
        """Changes the number of requests that wait for a token."""
        self._get_account(account, now_s).waiting += change

    def note_refused(self, account: str, now_s: float) -> None:
        """Counts a request that is refused for lack of a token."""
        self._get_account(account, now_s).refused.note(now_s)

    def draw_retry_delay_s(
        self,
        account: client_account.ClientAccount,
        now_s: float,
        draw: Callable[[float, float], float],
    ) -> float:
        """Draws the seconds after which a refused caller should retry.

        The delays of all that are refused spread over the time in which the
        tokens for them come in.

        Args:
            account: The account.
            now_s: Present time in seconds.
            draw: Draws a number between two bounds.
        """
        stock = self._get_account(account.name, now_s)
        first_s = max(1.0 / account.per_s, MINIMUM_RETRY_DELAY_S)
        first_s = min(first_s, MAXIMUM_RETRY_DELAY_S / 2)
        granted_per_s = min(stock.granted.get(now_s), account.per_s)
        backlog = 1.0 + stock.refused.get(now_s)
        spread_s = backlog / max(granted_per_s, 1.0 / first_s)
        last_s = min(first_s + spread_s, MAXIMUM_RETRY_DELAY_S)
        return draw(first_s, max(last_s, 2 * first_s))

    def add_passed_on(
        self, answer: token_messages.TokenAnswer, sent_s: float, now_s: float
    ) -> None:
        """Adds tokens of a pool, of which nothing is reported.

        Args:
            answer: The answer of a control instance.
            sent_s: When the request was sent, in seconds.
            now_s: Present time in seconds.
        """
        until_s = sent_s + answer.ttl_s
        for row in answer.rows:
            stock = self._accounts.get(row.account)
            if stock is not None and row.tokens > 0:
                stock.add_foreign(until_s, row.tokens, now_s)

    # Exchange with the owner.

    def next_request(self, now_s: float) -> token_messages.TokenRequest | None:
        """Returns the request to send now; None if there is nothing to send.

        After a failure it is the same request as before, since the owner may
        have answered it.
        """
        since_s = now_s - self._last_sent_s
        if self._is_outstanding or since_s < MINIMUM_INTERVAL_S:
            return None
        if any(stock.has_lapsed(now_s) for stock in self._accounts.values()):
            self.start_session(now_s)
        sent = self._unanswered
        if sent is None:
            request = self._make_request(now_s, since_s < ROUTINE_INTERVAL_S)
            if request is None:
                return None
            sent = self._unanswered = _SentRequest(request, now_s)
        self._is_outstanding = True
        self._last_sent_s = now_s
        return sent.request

    def apply_answer(
        self,
        request: token_messages.TokenRequest,
        answer: token_messages.TokenAnswer,
        now_s: float,
    ) -> dict[str, int]:
        """Adds the tokens of an answer.

        Args:
            request: The request that it answers.
            answer: The answer.
            now_s: Present time in seconds.

        Returns:
            The tokens received, by account; 0 where none was granted. Empty if
            the answer is too old to be used.
        """
        sent = self._unanswered
        if sent is None or sent.request is not request:
            return {}
        self._is_outstanding = False
        self._unanswered = None
        until_s = sent.sent_s + answer.ttl_s
        stocks = [self._accounts.get(row.account) for row in sent.request.rows]
        has_lapsed = any(
            stock is not None and stock.has_lapsed(now_s) for stock in stocks
        )
        if has_lapsed or until_s <= now_s:
            self.start_session(now_s)
            return {}
        granted = {row.account: row.tokens for row in answer.rows}
        for row in sent.request.rows:
            count = max(granted.get(row.account, 0), 0)
            self._get_account(row.account, now_s).add(
                count, until_s, answer.ttl_s, now_s
            )
        return {
            row.account: granted.get(row.account, 0)
            for row in sent.request.rows
        }

    def note_failure(self, request: token_messages.TokenRequest) -> None:
        """Records that a request has got no answer, and is to be repeated."""
        sent = self._unanswered
        if sent is not None and sent.request is request:
            self._is_outstanding = False

    def note_refusal(
        self,
        request: token_messages.TokenRequest,
        refusal: token_messages.TokenRefusal,
        now_s: float,
    ) -> None:
        """Records that the owner refused a request."""
        sent = self._unanswered
        if sent is None or sent.request is not request:
            return
        if refusal is token_messages.TokenRefusal.OLD_REQUEST:
            # An earlier process of the node had a clock that was ahead.
            self._session += SESSION_SKIP
        self.start_session(now_s)

    def start_session(self, now_s: float) -> None:
        """Starts a new session, with another owner or one that forgot.

        Tokens that are held stay valid until they expire.
        """
        self._session += 1
        self._sequence = 0
        self._unanswered = None
        self._is_outstanding = False
        for stock in self._accounts.values():
            stock.end_session(now_s)

    def _make_request(
        self, now_s: float, is_urgent_only: bool
    ) -> token_messages.TokenRequest | None:
        stocks = list(self._accounts.items())
        if is_urgent_only and not any(
            stock.is_urgent(now_s) for _, stock in stocks
        ):
            return None
        due = [item for item in stocks if item[1].is_due(now_s)]
        if len(due) > MAXIMUM_ROWS:
            due.sort(key=lambda item: not item[1].is_urgent(now_s))
        rows = [stock.make_row(now_s) for _, stock in due[:MAXIMUM_ROWS]]
        for name, stock in stocks:
            if stock.is_idle(now_s):
                del self._accounts[name]
        if not rows:
            return None
        self._sequence += 1
        return token_messages.TokenRequest(
            self._node_id, self._session, self._sequence, tuple(rows)
        )

    def _get_account(
        self, account: str, now_s: float
    ) -> account_stock.AccountStock:
        stock = self._accounts.get(account)
        if stock is None:
            stock = account_stock.AccountStock(account, now_s)
            self._accounts[account] = stock
        return stock
