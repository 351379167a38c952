"""State and services that all requests of a gateway share."""

import math
import random
from typing import Any
from typing import Protocol

import structlog

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.pressure import parent_matcher
from cranberrymux.decisions.retries import repeat_budget
from cranberrymux.decisions.routes import route_table
from cranberrymux.decisions.routes import split_chooser
from cranberrymux.gateway import callers as callers_module
from cranberrymux.gateway import meters as meters_module
from cranberrymux.gateway import running_works
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.node import clock as clock_module
from cranberrymux.node.http import connection_pool

# Part of the stop time after which requests are taken only if they end within
# it.
LAST_TAKES_PART = 0.5
SERVED_FOR_LINE = 200  # Served requests per log line on one of them.


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
        callers: Admission of requests at the entry port.
        lineage: Finds the running request that made a call.
        running: Requests that the backend server runs.
        hops: Connections to other nodes.
        meters: Metrics of the gateway.
        entered: Number of requests at the entry port that are not answered.
        last_takes_s: Monotonic seconds from which, in a stop, a request is
            taken only if its deadline is before `ends_s`.
        ends_s: Monotonic seconds at which a stop ends at the latest.
        events: Logger.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        routes: RoutesInForce,
        generator: random.Random,
        system_clock: clock_module.Clock,
    ) -> None:
        """Creates the state of a gateway that is not stopping.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
            routes: Provides the configuration in force.
            generator: Random number generator.
            system_clock: Monotonic and wall clock.
        """
        self.settings = settings
        self.reactor = reactor
        self.clock = system_clock
        self.generator = generator
        self.routes = routes
        self.splits = split_chooser.SplitChooser()
        self.endpoints = endpoint_set.EndpointSet(settings.zone, generator)
        self.repeats = repeat_budget.RepeatBudget(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window_s,
        )
        self.callers = callers_module.Callers(self.clock.now_s())
        self.lineage = parent_matcher.ParentMatcher()
        self.running = running_works.RunningWorks()
        self.hops = connection_pool.ConnectionPool(reactor, watches=True)
        self.meters = meters_module.GatewayMeters()
        self.entered = 0
        self.last_takes_s = math.inf
        self.ends_s = math.inf
        self._served_count = 0
        self.events = structlog.get_logger()

    def begin_stop(self, now_s: float, stop_s: float) -> None:
        """Records that the node stops within `stop_s` seconds."""
        self.last_takes_s = now_s + LAST_TAKES_PART * stop_s
        self.ends_s = now_s + stop_s

    def may_end(self, now_s: float, deadline_s: float) -> bool:
        """True if a request that arrives now can end before a stop does."""
        return now_s < self.last_takes_s or deadline_s < self.ends_s

    def is_sampled(self) -> bool:
        """Counts a served request; True for one in `SERVED_FOR_LINE`."""
        self._served_count += 1
        return self._served_count % SERVED_FOR_LINE == 1

    def call_ended(self) -> None:
        """Records that a request at the entry port has ended."""
        self.entered -= 1
