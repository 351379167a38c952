"""Copy of the state of a gateway on which a request can be tried.

Whatever the code that serves requests changes is a copy here; whatever it tells
the network, the log or the metrics ends here.
"""

from collections.abc import Callable
from collections.abc import Iterable
import copy
import random
from typing import Any

import structlog
from twisted.internet import task

from cranberrymux.decisions.endpoints import recorded_endpoints
from cranberrymux.decisions.pressure import parent_matcher
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.quarantine import quarantine
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.decisions.retries import repeat_budget
from cranberrymux.gateway import class_log
from cranberrymux.gateway import metrics as metrics_module
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import running_requests
from cranberrymux.gateway import zone_log
from cranberrymux.gateway.explanation import fixed_clock
from cranberrymux.models import socket_address
from cranberrymux.node import clock as clock_module
from cranberrymux.node import deadline_table
from cranberrymux.node import quarantine_task
from cranberrymux.node import suspect_reporter
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import lost_answer
from cranberrymux.node.http import request_identity


class _NoPool(connection_pool.ConnectionPool):
    """Lends no connection, so that nothing is sent."""

    def take(
        self,
        address: socket_address.SocketAddress,
        on_ready: Callable[[client_connection.ClientConnection], None],
        on_failed: Callable[[lost_answer.LostAnswer], None],
        identity: request_identity.RequestIdentity | None = None,
    ) -> connection_pool.Lease:
        """Returns a lease that stays pending."""
        del address
        return connection_pool.Lease(on_ready, on_failed, identity)


class _NoReporter(suspect_reporter.SuspectReporter):
    """Tells the control instances nothing."""

    def add(
        self,
        reports: Iterable[suspect_report.SuspectReport],
        delay_s: float = 0.0,
    ) -> None:
        """Ignores reports."""


class _WaitingClock:
    """Clock that advances while the request waits for a quota token."""

    def __init__(self, start_s: float, timers: task.Clock) -> None:
        """Starts at a time, when the timers are at 0."""
        self._start_s = start_s
        self._timers = timers

    def now_s(self) -> float:
        """Returns monotonic seconds."""
        return self._start_s + float(self._timers.seconds())

    def now_unix_ms(self) -> int:
        """Returns Unix time; deadlines are not given in it."""
        return 0


class CopiedParts(parts_module.GatewayParts):
    """State of a gateway in which one request can be tried.

    The request counts as the root of a tree: it is matched with no running
    request.

    Attributes:
        recorded: The endpoints, with the choice that was made of them.
        timers: The reactor; its time begins at 0.
        traffic_classes: Classes that root admission was asked about.
    """

    def __init__(
        self,
        source: parts_module.GatewayParts,
        services: Iterable[str],
        account: str,
    ) -> None:
        """Copies the state.

        Args:
            source: State of the gateway; it is not changed.
            services: Services that the request can go to.
            account: Name of the account of the request; empty for none.
        """
        self.__dict__.update(source.__dict__)
        now_s = source.clock.now_s()
        clock = fixed_clock.FixedClock(now_s, source.clock.now_unix_ms())
        generator = random.Random()
        generator.setstate(source.generator.getstate())
        timers = task.Clock()
        metrics = metrics_module.GatewayMetrics()
        self.timers = timers
        self.reactor = timers
        self.clock = clock
        self.generator = generator
        self.metrics = metrics
        self.events = structlog.wrap_logger(
            structlog.ReturnLogger(), processors=[]
        )
        self.zone_log = zone_log.ZoneLog(metrics, source.settings.zone)
        self.hop_connections = _NoPool(timers)
        self.splits = copy.deepcopy(source.splits)
        self.recorded = recorded_endpoints.RecordedEndpoints(
            source.endpoints, services, generator
        )
        self.endpoints = self.recorded
        self.repeats = repeat_budget.RepeatBudget(
            source.settings.repeat_ratio,
            source.settings.repeat_slack,
            source.settings.repeat_window_s,
        )
        self.deadlines = deadline_table.DeadlineTable(
            timers, _WaitingClock(now_s, timers)
        )
        self.parent_matcher = parent_matcher.ParentMatcher()
        self.running_requests = running_requests.RunningRequests()
        self.quotas = source.quotas.copy_account(
            account, timers, clock, generator, metrics
        )
        self.quarantine = _copy_quarantine(source, clock, timers)
        self.traffic_classes: list[traffic_class_module.TrafficClass] = []
        self._copy_admission(source)

    def _copy_admission(self, source: parts_module.GatewayParts) -> None:
        """Copies root admission, whose draws are those of the copy."""
        self.entry_admission = copy.deepcopy(
            source.entry_admission, {id(source.generator): self.generator}
        )
        admission: Any = self.entry_admission.root_admission
        admit = admission.admit

        def record_and_admit(
            now_s: float, traffic_class: traffic_class_module.TrafficClass
        ) -> Any:
            self.traffic_classes.append(traffic_class)
            return admit(now_s, traffic_class)

        admission.admit = record_and_admit
        self.class_log = class_log.ClassLog(admission, self.events)


def _copy_quarantine(
    source: parts_module.GatewayParts,
    system_clock: clock_module.Clock,
    reactor: Any,
) -> quarantine_task.QuarantineTask:
    settings = source.settings
    copied = quarantine.Quarantine(
        quarantine_settings.QuarantineSettings(), settings.node_id, 0
    )
    # The records themselves do not change; they are replaced.
    copied.records.update(source.quarantine.records)
    return quarantine_task.QuarantineTask(
        copied,
        system_clock,
        reactor,
        _NoReporter(lambda: (), settings.node_id, reactor, system_clock),
        lambda message: None,
        settings.cluster_key.encode(),
    )
