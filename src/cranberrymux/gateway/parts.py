"""State and services that all requests of a gateway share."""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random
from typing import Any
from typing import Protocol

import structlog

from cranberrymux.decisions.accounts import key_lease
from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.pressure import parent_matcher
from cranberrymux.decisions.pressure import stop_admission
from cranberrymux.decisions.retries import repeat_budget
from cranberrymux.decisions.routes import route_table
from cranberrymux.decisions.routes import split_chooser
from cranberrymux.gateway import class_log
from cranberrymux.gateway import entry_admission
from cranberrymux.gateway import lost_hops
from cranberrymux.gateway import metrics as metrics_module
from cranberrymux.gateway import quota_task
from cranberrymux.gateway import running_requests
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.gateway import standby_task
from cranberrymux.gateway import zone_log
from cranberrymux.node import clock as clock_module
from cranberrymux.node import deadline_table
from cranberrymux.node import quarantine_factory
from cranberrymux.node import siblings as siblings_module
from cranberrymux.node.http import answer_limits
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import unexpected_answer

SERVED_PER_LOG_LINE = 200  # Served requests per log line on one of them.


class RoutesInForce(Protocol):
    """Provides the configuration in force."""

    @property
    def table(self) -> route_table.RouteTable | None:
        """Routes of it; None before any configuration is known."""

    @property
    def version(self) -> int:
        """Version of it; 0 before any configuration is known."""


class GatewayParts:
    """State and services that all requests of a gateway share.

    Attributes:
        settings: The gateway's settings.
        reactor: The reactor to use.
        clock: Monotonic and wall clock.
        generator: Random number generator.
        routes: The configuration in force.
        splits: Chooses among the services of a route.
        endpoints: Endpoints of all services.
        repeats: Budget of repeats.
        entry_admission: Admission of requests at the entry port.
        deadlines: Deadlines of the requests at the entry port.
        parent_matcher: Finds the running request that made a call.
        running_requests: Requests that the backend server runs.
        hop_connections: Connections to other nodes.
        siblings: Nodes of the other endpoints of the own service.
        quarantine: Requests that may crash backend servers.
        lost_hops: Requests that were lost with the node of their endpoint.
        key_lease: For how long keys of client accounts are accepted.
        metrics: Metrics of the gateway.
        zone_log: Metrics and log lines on the shares of zones.
        class_log: Log lines on the classes that may not all start.
        quotas: Tokens of the client accounts.
        open_entry_calls: Number of open requests at the entry port.
        stop_admission: Decides what is still taken while this node stops.
        events: Logger.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        routes: RoutesInForce,
        generator: random.Random,
        system_clock: clock_module.Clock,
        get_control_clients: Callable[[], Sequence[standby_task.StandbyClient]],
    ) -> None:
        """Creates the state of a gateway that is not stopping.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
            routes: Provides the configuration in force.
            generator: Random number generator.
            system_clock: Monotonic and wall clock.
            get_control_clients: Returns the connections to the control
                instances.
        """
        self.settings = settings
        self.reactor = reactor
        self.clock = system_clock
        self.generator = generator
        self.routes = routes
        self.splits = split_chooser.SplitChooser()
        self.endpoints = endpoint_set.EndpointSet(
            settings.node_id, settings.zone, generator, settings.zones
        )
        self.repeats = repeat_budget.RepeatBudget(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window_s,
            -math.inf if settings.is_first_start else self.clock.now_s(),
        )
        self.entry_admission = entry_admission.EntryAdmission(
            self.clock.now_s(), generator
        )
        self.deadlines = deadline_table.DeadlineTable(reactor, system_clock)
        self.parent_matcher = parent_matcher.ParentMatcher()
        self.running_requests = running_requests.RunningRequests()
        self.hop_connections = connection_pool.ConnectionPool(
            reactor,
            detects_dead_peers=True,
            on_unexpected=self.note_unexpected_answer,
            limits=answer_limits.BETWEEN_NODES,
        )
        self.siblings = siblings_module.Siblings(
            settings.node_id, self.hop_connections
        )
        self.quarantine = quarantine_factory.make(
            quarantine_factory.NodeIdentity(
                settings.node_id,
                system_clock.now_unix_ms(),
                settings.cluster_key.encode(),
            ),
            system_clock,
            reactor,
            get_control_clients,
            self.siblings.send_to_neighbors,
        )
        self.lost_hops = lost_hops.LostHops(system_clock, self.quarantine)
        self.key_lease = key_lease.KeyLease(settings.key_lifetime_s)
        self.metrics = metrics_module.GatewayMetrics()
        self.zone_log = zone_log.ZoneLog(self.metrics, settings.zone)
        self.endpoints.zones.on_change = self.zone_log.note_change
        self.quotas = quota_task.QuotaTask(
            settings,
            reactor,
            system_clock,
            generator,
            self.metrics,
            get_control_clients=get_control_clients,
        )
        self.open_entry_calls = 0
        self.stop_admission = stop_admission.StopAdmission()
        self._served_count = 0
        self.events = structlog.get_logger()
        self.class_log = class_log.ClassLog(
            self.entry_admission.root_admission, self.events
        )

    def sample_served(self) -> bool:
        """Counts a served request; True for one in `SERVED_PER_LOG_LINE`."""
        self._served_count += 1
        return self._served_count % SERVED_PER_LOG_LINE == 1

    def note_unexpected_answer(
        self, unexpected: unexpected_answer.UnexpectedAnswer
    ) -> None:
        """Counts and logs bytes that do not answer a pending request."""
        reason = unexpected.kind.value
        self.metrics.unexpected_answers.labels(reason).inc()
        self.events.info(
            "unexpected-answer",
            reason=reason,
            request_id=unexpected.request_id.decode("latin-1"),
            answer_id=unexpected.answer_id.decode("latin-1"),
        )

    def show_zone_shares(self) -> None:
        """Updates the metrics of the zones."""
        self.zone_log.show_sends()
        zones = self.endpoints.zones
        for service in zones.services:
            self.zone_log.show_shares(service, zones.get_shares(service))
