"""Hands out quota tokens while this instance leads the replicated log."""

from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet import defer

from cranberrymux.control import command_log
from cranberrymux.control import quota_standby
from cranberrymux.control import state_machine
from cranberrymux.control import stepwise
from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import account_use
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.quotas import token_allocator
from cranberrymux.decisions.quotas import token_messages
from cranberrymux.decisions.routes import route_document
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink
from cranberrymux.wire import quota_conversion
from cranberrymux.wire.gen.messages import ttypes

SWEEP_INTERVAL_S = 1.0
LOG_INTERVAL_S = 10.0
# Accounts in each log of the use; those with most refusals and use go first.
MAXIMUM_LOGGED = 50
NOT_OWNER = "not the owner of the quotas"
DECODING = "the newest configuration is not decoded yet"
_MS_PER_S = 1000


class QuotaService:
    """The allocator of tokens, for as long as this instance leads.

    With each term in which it leads it starts anew, with empty buckets.
    """

    def __init__(
        self,
        settings: quota_settings.QuotaSettings,
        machine: state_machine.StateMachine,
        log: command_log.CommandLog,
        metrics: metrics_sink.MetricsSink,
        now_s: Callable[[], float],
        reactor: Any,
        standby: quota_standby.QuotaStandby,
    ) -> None:
        """Starts without tokens.

        Args:
            settings: Bounds.
            machine: The replicated state; only read here.
            log: Tells whether this instance leads.
            metrics: Receives the metrics of tokens.
            now_s: Clock that also counts the time for which the instance is
                suspended.
            reactor: Runs the steps in which large configurations are decoded.
            standby: Tokens for nodes that get no answer of the owner.
        """
        self._settings = settings
        self._machine = machine
        self._log = log
        self._metrics = metrics
        self._now_s = now_s
        self._reactor = reactor
        self._standby = standby
        self._events = structlog.get_logger()
        self._allocator: token_allocator.TokenAllocator | None = None
        self._term = -1
        self._version = -1
        self._decoding_version = -1
        self._accounts: tuple[client_account.ClientAccount, ...] = ()
        self._has_limits = False
        self._swept_s = now_s()
        self._logged_s = now_s()
        self._logged_use: dict[str, account_use.AccountUse] = {}

    @property
    def owner_address(self) -> str | None:
        """`ip:port` of the owner; None if unknown or if there are no limits."""
        self._read_configuration()
        if not self._has_limits:
            return None
        return self._log.leader_address() or None

    def take(self, message: Any) -> Any:
        """Answers a `QuotaRequest`.

        Raises:
            Refused: This instance does not lead, has not decoded the newest
                configuration, or cannot tell what the node holds.
        """
        request = quota_conversion.decode_request(message)
        if not request.sequence:
            self._metrics.count(metric.Metric.QUOTA_REQUESTS, 1, "standby")
            passed_on = self._standby.take(request)
            return quota_conversion.encode_answer(passed_on, self._version)
        allocator, lease_left_s = self._get_allocator()
        if allocator is None:
            self._metrics.count(metric.Metric.QUOTA_REQUESTS, 1, "not-owner")
            raise ttypes.Refused(reason=NOT_OWNER)
        if self._version != self._machine.configuration.version:
            # A limit may be lower in the version that is being decoded.
            self._metrics.count(metric.Metric.QUOTA_REQUESTS, 1, "decoding")
            raise ttypes.Refused(reason=DECODING)
        answer = allocator.take(request, self._now_s(), lease_left_s)
        if isinstance(answer, token_messages.TokenRefusal):
            result = answer.value.replace(" ", "-")
            self._metrics.count(metric.Metric.QUOTA_REQUESTS, 1, result)
            raise ttypes.Refused(reason=answer.value)
        self._metrics.count(metric.Metric.QUOTA_REQUESTS, 1, "answered")
        return quota_conversion.encode_answer(answer, self._version)

    def tick(self) -> None:
        """Starts the allocator with the leadership, and logs the use."""
        allocator, _ = self._get_allocator()
        now_s = self._now_s()
        self._read_configuration()
        if self._has_limits:
            self._standby.tick()
        if allocator is None or now_s - self._swept_s < SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        allocator.sweep(now_s)
        if now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            self._log_use(allocator.describe())

    def report_metrics(self) -> None:
        """Sends the number of tokens here and at nodes, of all accounts."""
        if self._has_limits:
            self._metrics.gauge(
                metric.Metric.QUOTA_STANDBY_TOKENS,
                self._standby.count_tokens(),
            )
        if self._allocator is None:
            return
        uses = self._allocator.describe()
        self._metrics.gauge(
            metric.Metric.QUOTA_TOKENS_OUT, sum(use.out for use in uses)
        )
        self._metrics.gauge(
            metric.Metric.QUOTA_NODES, self._allocator.session_count
        )

    def describe(self) -> list[dict[str, Any]]:
        """Returns the use of each account since this instance leads.

        Empty if it does not lead.
        """
        allocator, _ = self._get_allocator()
        if allocator is None:
            return []
        allocator.sweep(self._now_s())
        return [use._asdict() for use in allocator.describe()]

    def make_report(self) -> dict[str, Any]:
        """Returns the use of each account for operators, as JSON values."""
        allocator, _ = self._get_allocator()
        return {
            "leader": self._log.leader(),
            "is_owner": allocator is not None,
            "accounts": self.describe(),
        }

    def _get_allocator(
        self,
    ) -> tuple[token_allocator.TokenAllocator | None, float]:
        """Returns the allocator and the seconds left of the leader lease."""
        now_s = self._now_s()
        is_leader = self._log.role() == "leader"
        lease_left_s = self._log.vouched_ms() / _MS_PER_S if is_leader else 0.0
        if not is_leader:
            self._allocator = None
            return None, 0.0
        if lease_left_s <= 0.0:
            return None, 0.0
        self._read_configuration()
        term = self._log.term()
        if self._allocator is None or term != self._term:
            self._term = term
            self._allocator = token_allocator.TokenAllocator(
                self._settings, now_s
            )
            self._events.info("quota-owner-started", term=term)
            self._allocator.set_accounts(self._accounts, now_s)
        return self._allocator, lease_left_s

    def _read_configuration(self) -> None:
        """Begins to decode a version that is new."""
        configuration = self._machine.configuration
        version = configuration.version
        if version in (self._version, self._decoding_version):
            return
        self._decoding_version = version
        steps = route_document.load_in_steps(configuration.document)
        defer.ensureDeferred(self._load(version, steps)).addErrback(
            self._log_fault
        )

    async def _load(
        self, version: int, steps: route_document.LoadSteps
    ) -> None:
        """Puts the limits of a version in force, unless a newer one came."""
        document = await stepwise.run(self._reactor, steps)
        if version != self._decoding_version:
            return
        self._version = version
        if isinstance(document, route_document.RouteDocumentError):
            # Configurations of nodes without routes have no accounts.
            self._accounts = ()
        else:
            self._accounts = document.accounts
        self._has_limits = any(account.is_limited for account in self._accounts)
        if self._allocator is not None:
            self._allocator.set_accounts(self._accounts, self._now_s())

    def _log_use(self, uses: list[account_use.AccountUse]) -> None:
        """Logs the accounts that were used since the last time."""
        changed = [
            use
            for use in uses
            if self._logged_use.get(use.account) != use
            and (use.spent or use.denied)
        ]
        changed.sort(key=lambda use: (-use.denied, -use.spent))
        for use in changed[:MAXIMUM_LOGGED]:
            self._events.info("quota-use", **use._asdict())
        self._logged_use = {use.account: use for use in uses}

    def _log_fault(self, failure: Any) -> None:
        self._events.error("fault", error=str(failure.value))
