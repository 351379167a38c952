"""The tokens of a node: requests that wait for one, and the owner's answers."""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import random
from typing import Any

import structlog
from twisted.internet import defer

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import token_messages
from cranberrymux.decisions.quotas import token_stock
from cranberrymux.gateway import metrics as metrics_module
from cranberrymux.gateway import quota_client
from cranberrymux.gateway import quota_waiter
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.gateway import standby_task
from cranberrymux.models import socket_address
from cranberrymux.node import clock as clock_module
from cranberrymux.wire import quota_conversion
from cranberrymux.wire import wire_error

# Between two checks whether the owner should hear of the tokens: while requests
# wait, and while only stocks run low and reports become due.
URGENT_CHECK_S = token_stock.MINIMUM_INTERVAL_S
ROUTINE_CHECK_S = token_stock.ROUTINE_INTERVAL_S
# An owner that answered within this time is kept: control instances may hear of
# a new one at different times.
OWNER_KEPT_S = 0.5
# A new owner hands out what flows in, and refuses what is within the quota. Its
# refusals count only after this time, in which requests wait for more.
OWNER_NEW_S = 3.0
USED_UP = "the quota of the account is used up"

GetClients = Callable[[], Sequence[standby_task.StandbyClient]]
Connect = Callable[[socket_address.SocketAddress], quota_client.QuotaClient]


class QuotaTask:
    """Hands the tokens of a node to its requests, and asks for more."""

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        system_clock: clock_module.Clock,
        generator: random.Random,
        metrics: metrics_module.GatewayMetrics,
        connect: Connect | None = None,
        get_control_clients: GetClients = list,
    ) -> None:
        """Starts without an owner; nothing is sent before one is known.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
            system_clock: Monotonic and wall clock.
            generator: Random number generator.
            metrics: Receives the metrics of tokens.
            connect: Makes a connection to an owner; a `ControlClient` by
                default.
            get_control_clients: Returns the connections to all control
                instances.
        """
        self._settings = settings
        self._reactor = reactor
        self._clock = system_clock
        self._generator = generator
        self._metrics = metrics
        self._connect = connect or functools.partial(
            quota_client.make, settings, reactor
        )
        self._stock = token_stock.TokenStock(
            settings.node_id, system_clock.now_unix_ms()
        )
        self._waiters: dict[str, list[quota_waiter.QuotaWaiter]] = {}
        self._client: quota_client.QuotaClient | None = None
        self._owner = ""
        self._answered_s = -OWNER_KEPT_S
        self._get_version: Callable[[], int] = int
        # The next check; None while the node keeps state of no account.
        self._next_check: Any = None
        self._events = structlog.get_logger()
        self._followed_s = -OWNER_NEW_S
        self._standbys = standby_task.StandbyTask(
            settings.node_id,
            reactor,
            system_clock,
            generator,
            stock=self._stock,
            get_clients=get_control_clients,
            get_waiting=lambda: tuple(self._waiters),
            may_ask=self._may_ask_standbys,
            serve=lambda account: self._serve(account, False),
            report_fault=self._log_fault,
        )

    def start(self, get_version: Callable[[], int]) -> None:
        """Prepares to ask for tokens, which begins with the first owner.

        Args:
            get_version: Returns the version of the configuration in force.
        """
        self._get_version = get_version

    def stop(self) -> None:
        """Closes the connection to the owner."""
        self._cancel_check()
        self._standbys.stop()
        if self._client is not None:
            self._client.stop()
            self._client = None

    def follow_owner(self, address: str) -> None:
        """Connects to another owner.

        Args:
            address: `ip:port` of the control instance that hands out tokens.
        """
        now_s = self._clock.now_s()
        if address == self._owner or now_s - self._answered_s < OWNER_KEPT_S:
            return
        parsed = socket_address.parse(address)
        if parsed is None:
            return
        if self._client is not None:
            self._client.stop()
        self._events.info(
            "quota-owner", owner=address, previous_owner=self._owner
        )
        if self._owner:
            self._followed_s = now_s
        self._owner = address
        self._stock.start_session(now_s)
        self._client = self._connect(parsed)
        self._client.start()
        self._schedule_check()

    def take(self, account: str) -> token_stock.TokenTicket | None:
        """Spends a token for a request that arrives; None if there is none."""
        now_s = self._clock.now_s()
        self._stock.note_arrival(account, now_s)
        if self._next_check is None:
            self._schedule_check()
        if account in self._waiters:
            return None
        return self._count(account, self._stock.take(account, now_s))

    def wait(self, waiter: quota_waiter.QuotaWaiter, wait_s: float) -> None:
        """Lets a request wait for a token, after `take` returned none.

        Args:
            waiter: The request.
            wait_s: Maximum seconds.
        """
        name = waiter.account.name
        self._waiters.setdefault(name, []).append(waiter)
        self._stock.change_waiting(name, 1, self._clock.now_s())
        waiter.timer = self._reactor.callLater(
            max(wait_s, 0.0), self._handle_timeout, waiter
        )
        self._check()
        self._standbys.note_waiting()

    def cancel(self, waiter: quota_waiter.QuotaWaiter) -> None:
        """Ends the wait of a request whose caller has gone."""
        if waiter in self._waiters.get(waiter.account.name, ()):
            self._remove(waiter)

    def give_back(self, ticket: token_stock.TokenTicket) -> None:
        """Takes back the token of a request that did not run."""
        self._metrics.quota_requests.labels(ticket.account, "returned").inc()
        self._stock.give_back(ticket, self._clock.now_s())

    def draw_retry_delay_s(
        self, account: client_account.ClientAccount
    ) -> float:
        """Draws the seconds after which a refused caller should retry."""
        return self._stock.draw_retry_delay_s(
            account, self._clock.now_s(), self._generator.uniform
        )

    def get_held(self, account: str) -> int:
        """Returns how many tokens of an account the node holds."""
        return self._stock.get_held(account, self._clock.now_s())

    def copy_account(
        self,
        account: str,
        reactor: Any,
        system_clock: clock_module.Clock,
        generator: random.Random,
        metrics: metrics_module.GatewayMetrics,
    ) -> "QuotaTask":
        """Returns a task with the tokens and waits of one account.

        It has no owner, so that it sends nothing.

        Args:
            account: Name of the account.
            reactor: Schedules the ends of waits.
            system_clock: Monotonic and wall clock.
            generator: Random number generator.
            metrics: Receives the metrics of tokens.
        """
        copied = QuotaTask(
            self._settings, reactor, system_clock, generator, metrics
        )
        copied._stock = self._stock.copy_account(account)
        copied._answered_s = self._answered_s
        copied._followed_s = self._followed_s
        if account in self._waiters:
            copied._waiters[account] = list(self._waiters[account])
        return copied

    def update_metrics(self) -> None:
        """Shows how many tokens are held, and of how many accounts."""
        now_s = self._clock.now_s()
        self._metrics.quota_tokens.set(self._stock.count_tokens(now_s))
        self._metrics.quota_accounts.set(self._stock.account_count)

    def _check(self) -> None:
        self._ask_if_due()
        self._cancel_check()
        self._schedule_check()

    def _schedule_check(self) -> None:
        """Checks again later, unless that is due or nothing can be due."""
        is_needed = self._client is not None and self._stock.account_count
        if is_needed and self._next_check is None:
            self._next_check = self._reactor.callLater(
                URGENT_CHECK_S if self._waiters else ROUTINE_CHECK_S,
                self._handle_check_due,
            )

    def _handle_check_due(self) -> None:
        self._next_check = None
        self._check()

    def _cancel_check(self) -> None:
        if self._next_check is not None:
            self._next_check.cancel()
            self._next_check = None

    def _ask_if_due(self) -> None:
        client = self._client
        if client is None or not client.is_connected:
            return
        request = self._stock.next_request(self._clock.now_s())
        if request is not None:
            defer.ensureDeferred(self._exchange(client, request)).addErrback(
                self._log_fault
            )

    async def _exchange(
        self,
        client: quota_client.QuotaClient,
        request: token_messages.TokenRequest,
    ) -> None:
        for waiters in self._waiters.values():
            for waiter in waiters:
                waiter.is_asked = True
        answer = await client.take_quota(
            quota_conversion.encode_request(request, self._get_version())
        )
        now_s = self._clock.now_s()
        if isinstance(answer, wire_error.WireError):
            self._metrics.quota_exchanges.labels(answer.reason.value).inc()
            refusal = quota_conversion.find_refusal(answer)
            if refusal is None:
                self._stock.note_failure(request)
            else:
                self._stock.note_refusal(request, refusal, now_s)
            return
        self._metrics.quota_exchanges.labels("answered").inc()
        if client is self._client:
            self._answered_s = now_s
        granted = self._stock.apply_answer(
            request, quota_conversion.decode_answer(answer), now_s
        )
        for account in [name for name in granted if name in self._waiters]:
            self._serve(account, not granted[account])

    def _serve(self, account: str, is_used_up: bool) -> None:
        """Gives tokens to waiting requests, in their order.

        Args:
            account: Name of the account.
            is_used_up: True if the owner had none for them.
        """
        for waiter in list(self._waiters.get(account, ())):
            if waiter not in self._waiters.get(account, ()):
                continue
            ticket = self._stock.take(account, self._clock.now_s())
            if ticket is not None:
                self._remove(waiter)
                waiter.on_granted(ticket)
                self._count(account, ticket)
            elif is_used_up and waiter.is_asked:
                waiter.cause = USED_UP
                if not self._is_owner_new():
                    self._refuse(waiter)

    def _is_owner_new(self) -> bool:
        return self._clock.now_s() - self._followed_s < OWNER_NEW_S

    def _may_ask_standbys(self) -> bool:
        silent_s = self._clock.now_s() - self._answered_s
        return silent_s >= standby_task.ASK_AFTER_S or self._is_owner_new()

    def _handle_timeout(self, waiter: quota_waiter.QuotaWaiter) -> None:
        if waiter.extra_wait_s and self._may_ask_standbys():
            waiter.timer = self._reactor.callLater(
                waiter.extra_wait_s, self._handle_timeout, waiter
            )
            waiter.extra_wait_s = 0.0
            return
        self._refuse(waiter)

    def _refuse(self, waiter: quota_waiter.QuotaWaiter) -> None:
        name = waiter.account.name
        self._remove(waiter)
        self._stock.note_refused(name, self._clock.now_s())
        self._metrics.quota_requests.labels(name, "refused").inc()
        waiter.on_refused(waiter.cause)

    def _remove(self, waiter: quota_waiter.QuotaWaiter) -> None:
        name = waiter.account.name
        waiters = self._waiters[name]
        waiters.remove(waiter)
        if not waiters:
            del self._waiters[name]
        if waiter.timer.active():
            waiter.timer.cancel()
        self._stock.change_waiting(name, -1, self._clock.now_s())

    def _count(
        self, account: str, ticket: token_stock.TokenTicket | None
    ) -> token_stock.TokenTicket | None:
        if ticket is not None:
            self._metrics.quota_requests.labels(account, "granted").inc()
        return ticket

    def _log_fault(self, failure: Any) -> None:
        self._events.error("fault", error=str(failure.value))
