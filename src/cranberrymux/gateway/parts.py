"""What the calls of a gateway work with."""

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
from cranberrymux.gateway import metrics as metrics_module
from cranberrymux.gateway import running_works
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.node import clock as clock_module
from cranberrymux.node.http import connection_pool

# Part of a stop after which a request is taken only if it ends before it.
LAST_TAKES_PART = 0.5
SERVED_FOR_LINE = 200  # Served requests for each line on one of them.


class RoutesInForce(Protocol):
    """The configuration in force."""

    @property
    def table(self) -> route_table.RouteTable | None:
        """Routes; None before any configuration is known."""

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""


class GatewayParts:
    """Shared by every call; owned by the program.

    Attributes:
        settings: The gateway's settings.
        reactor: The reactor to use.
        clock: Steady and wall clock.
        generator: Source of randomness.
        routes: The configuration in force.
        splits: Shares requests among the services of a route.
        endpoints: Endpoints of all services.
        repeats: Budget of repeats.
        callers: Admission of requests that begin here.
        lineage: Tells which running request made a call.
        running: What is known of the requests that run here.
        hops: Connections to other nodes.
        meters: Counters and histograms.
        entered: Requests that began here and are not answered.
        last_takes_s: When a stop has come so far that a request is taken only
            if it ends before the stop does.
        ends_s: When a stop ends at the latest.
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
        """Builds the parts."""
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
        self.hops = connection_pool.ConnectionPool(
            reactor, detects_dead_peers=True
        )
        self.meters = metrics_module.GatewayMetrics()
        self.entered = 0
        self.last_takes_s = math.inf
        self.ends_s = math.inf
        self._served = 0
        self.events = structlog.get_logger()

    def begin_stop(self, now_s: float, stop_s: float) -> None:
        """Takes note that the node stops, within this time."""
        self.last_takes_s = now_s + LAST_TAKES_PART * stop_s
        self.ends_s = now_s + stop_s

    def may_end(self, now_s: float, deadline_s: float) -> bool:
        """True if a request that comes now is not cut off by the stop."""
        return now_s < self.last_takes_s or deadline_s < self.ends_s

    def is_sampled(self) -> bool:
        """True for one served request in `SERVED_FOR_LINE`."""
        self._served += 1
        return self._served % SERVED_FOR_LINE == 1

    def call_ended(self) -> None:
        """Takes note that a request that began here was answered."""
        self.entered -= 1
