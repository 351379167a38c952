"""What the calls of a gateway work with."""

import random
from typing import Any
from typing import Protocol

import structlog

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.retries import repeat_bucket
from cranberrymux.decisions.routes import route_table
from cranberrymux.decisions.routes import split_chooser
from cranberrymux.gateway import clock as clock_module
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.node.http import connection_pool


class RoutesInForce(Protocol):
    """The configuration in force."""

    @property
    def table(self) -> route_table.RouteTable | None:
        """Routes; None before any configuration is known."""


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
        hops: Connections to other nodes.
        events: Logger.
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        reactor: Any,
        routes: RoutesInForce,
        generator: random.Random,
    ) -> None:
        """Builds the parts."""
        self.settings = settings
        self.reactor = reactor
        self.clock = clock_module.BootClock()
        self.generator = generator
        self.routes = routes
        self.splits = split_chooser.SplitChooser()
        self.endpoints = endpoint_set.EndpointSet(settings.zone, generator)
        self.repeats = repeat_bucket.RepeatBucket(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window_s,
        )
        self.hops = connection_pool.ConnectionPool(reactor)
        self.events = structlog.get_logger()
