"""Asks control instances for tokens while the owner of the quotas is silent."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any
from typing import Protocol
import weakref

from twisted.internet import defer

from cranberrymux.decisions.quotas import token_messages
from cranberrymux.decisions.quotas import token_stock
from cranberrymux.node import clock as clock_module
from cranberrymux.node import suspect_reporter
from cranberrymux.wire import quota_conversion
from cranberrymux.wire import wire_error

# A request waits this long for the owner before pools are asked, which is more
# than an exchange with an owner that is well takes.
ASK_AFTER_S = 0.05
ANSWER_TIMEOUT_S = 0.03


class StandbyClient(suspect_reporter.ReportClient, Protocol):
    """Connection to one control instance."""

    async def take_quota(self, request: Any) -> Any:
        """Sends a `QuotaRequest`; returns `QuotaAnswer | WireError`."""


class StandbyTask:
    """Gets tokens from the pools of control instances for waiting requests.

    One instance after the other is asked, until no request waits.
    """

    def __init__(
        self,
        node_id: str,
        reactor: Any,
        system_clock: clock_module.Clock,
        generator: random.Random,
        *,
        stock: token_stock.TokenStock,
        get_clients: Callable[[], Sequence[StandbyClient]],
        get_waiting: Callable[[], Sequence[str]],
        may_ask: Callable[[], bool],
        serve: Callable[[str], None],
        report_fault: Callable[[Any], None],
    ) -> None:
        """Starts without a request.

        Args:
            node_id: Name of the node.
            reactor: The reactor to use.
            system_clock: Monotonic clock that also counts suspension.
            generator: Random number generator.
            stock: The node's tokens.
            get_clients: Returns the connections to control instances.
            get_waiting: Returns the accounts of which requests wait.
            may_ask: True while the owner is silent.
            serve: Gives new tokens of an account to its requests.
            report_fault: Called with the failure of an unexpected error.
        """
        self._node_id = node_id
        self._reactor = reactor
        self._clock = system_clock
        self._generator = generator
        self._stock = stock
        self._get_clients = get_clients
        self._get_waiting = get_waiting
        self._may_ask = may_ask
        self._serve = serve
        self._report_fault = report_fault
        self._silent: weakref.WeakSet[StandbyClient] = weakref.WeakSet()
        self._timer: Any = None
        self._is_asking = False

    def note_waiting(self) -> None:
        """Asks if a request still waits a little later."""
        if self._timer is None and not self._is_asking:
            self._timer = self._reactor.callLater(ASK_AFTER_S, self._begin)

    def stop(self) -> None:
        """Ends the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _begin(self) -> None:
        self._timer = None
        if self._get_waiting() and not self._may_ask():
            self.note_waiting()
        elif self._get_waiting():
            defer.ensureDeferred(self._ask_all()).addErrback(self._report_fault)

    async def _ask_all(self) -> None:
        self._is_asking = True
        try:
            for client in self._order_clients():
                accounts = self._get_waiting()
                if not accounts or not self._may_ask():
                    break
                await self._ask(client, accounts)
        finally:
            self._is_asking = False
        if self._get_waiting():
            self.note_waiting()

    def _order_clients(self) -> list[StandbyClient]:
        """Returns the connected instances, those silent before as the last."""
        clients = [each for each in self._get_clients() if each.is_connected]
        self._generator.shuffle(clients)
        clients.sort(key=lambda client: client in self._silent)
        return clients

    async def _ask(
        self, client: StandbyClient, accounts: Sequence[str]
    ) -> None:
        sent_s = self._clock.now_s()
        rows = self._stock.make_pool_rows(accounts, sent_s)
        request = token_messages.TokenRequest(self._node_id, 0, 0, rows)
        answering = defer.ensureDeferred(
            client.take_quota(quota_conversion.encode_request(request, 0))
        )
        answering.addTimeout(ANSWER_TIMEOUT_S, self._reactor)
        try:
            message = await answering
        except defer.TimeoutError:
            self._silent.add(client)
            return
        self._silent.discard(client)
        if isinstance(message, wire_error.WireError):
            return
        answer = quota_conversion.decode_answer(message)
        self._stock.add_passed_on(answer, sent_s, self._clock.now_s())
        for row in answer.rows:
            if row.tokens > 0:
                self._serve(row.account)
