"""Zones of all services that a node sends requests to."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import copy
import math
import random

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.zones import cost_time
from cranberrymux.decisions.zones import endpoint_cost
from cranberrymux.decisions.zones import service_zones
from cranberrymux.decisions.zones import share_change
from cranberrymux.decisions.zones import zone_settings

# Answers of a zone that come within this time of one another count as one.
SAMPLE_INTERVAL_S = 0.02
# A request that so many endpoints refused goes to any zone that is faster.
REFUSALS_WITHIN_SHARES = 2
# One that so many refused goes anywhere: nothing is worth less than a refusal.
REFUSALS_WITHIN_FASTER = 3


def _ignore_change(change: share_change.ShareChange) -> None:
    del change


class ZoneBalancer:
    """Narrows the endpoints of a request to those of one zone.

    Attributes:
        on_change: Called when the shares of a service change noticeably.
        due_s: Monotonic seconds from which the shares of a service are to be
            computed anew; missing before the first time.
    """

    def __init__(
        self,
        zone: str,
        settings: zone_settings.ZoneSettings,
        generator: random.Random,
    ) -> None:
        """Starts with all requests in the own zone.

        Args:
            zone: Availability zone of this node.
            settings: What it costs to leave that zone.
            generator: Random generator of the choices among zones.
        """
        self._zone = zone
        self._settings = settings
        self._generator = generator
        self._services: dict[str, service_zones.ServiceZones] = {}
        self.due_s: dict[str, float] = {}
        # The zone of services whose endpoints are all in one, or that have
        # none, so that there is nothing to decide.
        self._only_zone: dict[str, set[str]] = {}
        # Monotonic seconds from which an answer of a zone is evaluated.
        self._answer_due_s: dict[tuple[str, str], float] = {}
        self.on_change: Callable[[share_change.ShareChange], None] = (
            _ignore_change
        )

    @property
    def services(self) -> tuple[str, ...]:
        """Names of the services that requests were sent to."""
        return tuple(self._services)

    def get_shares(self, service: str) -> dict[str, float]:
        """Returns the share of each other zone that has one, 0 to 1."""
        zones = self._services.get(service)
        return dict(zones.shares) if zones else {}

    def describe(self, service: str) -> share_change.ShareChange | None:
        """Returns the shares of a service; None if they were never computed."""
        zones = self._services.get(service)
        return zones.describe() if zones else None

    def copy_services(
        self, services: Iterable[str], generator: random.Random
    ) -> "ZoneBalancer":
        """Returns a balancer that has its own copy of the state of services.

        Args:
            services: Names of the services.
            generator: Random generator of its choices.
        """
        copied = ZoneBalancer(self._zone, self._settings, generator)
        copied.due_s = dict(self.due_s)
        copied._only_zone = dict(self._only_zone)
        for service in services:
            if service in self._services:
                copied._services[service] = copy.deepcopy(
                    self._services[service]
                )
        return copied

    def update(
        self,
        service: str,
        now_s: float,
        endpoints: Collection[endpoint_view.EndpointView],
    ) -> None:
        """Computes the shares of a service anew.

        Args:
            service: Name of the service.
            now_s: Monotonic time in seconds.
            endpoints: Its endpoints that take requests.
        """
        self.due_s[service] = now_s + service_zones.UPDATE_INTERVAL_S
        found = {endpoint.record.zone for endpoint in endpoints}
        if len(found) > 1:
            self._only_zone.pop(service, None)
        elif self._only_zone.get(service) == found:
            return
        else:
            self._only_zone[service] = found
        by_zone: dict[str, list[endpoint_cost.EndpointCost]] = {}
        for endpoint in endpoints:
            listed = by_zone.setdefault(endpoint.record.zone, [])
            listed.append(_cost(endpoint, now_s))
        zones = self._get(service)
        zones.update(now_s, by_zone)
        change = zones.pop_change()
        if change is not None:
            self.on_change(change)

    def note_answer(
        self,
        endpoint: endpoint_view.EndpointView,
        sent_s: float,
        now_s: float,
        *,
        is_run: bool,
    ) -> None:
        """Learns from an answer, after the endpoint's figures have been noted.

        Args:
            endpoint: The endpoint that answered.
            sent_s: Monotonic seconds at which the request was sent.
            now_s: Monotonic time in seconds.
            is_run: False if the endpoint refused the request, so that the time
                tells nothing of the work.
        """
        record = endpoint.record
        if record.service in self._only_zone:
            return
        key = record.service, record.zone
        if now_s < self._answer_due_s.get(key, -math.inf):
            return
        self._answer_due_s[key] = now_s + SAMPLE_INTERVAL_S
        self._get(record.service).note_answer(
            record.zone,
            now_s,
            _cost(endpoint, now_s),
            now_s - sent_s if is_run else None,
        )

    def narrow(
        self,
        service: str,
        available: list[endpoint_view.EndpointView],
        now_s: float,
        refusals: int,
        *,
        stays: bool,
    ) -> list[endpoint_view.EndpointView]:
        """Returns the endpoints that a request may be sent to.

        Args:
            service: Name of the service.
            available: Endpoints that can take the request.
            now_s: Monotonic time in seconds.
            refusals: Number of endpoints that have had the request.
            stays: True if the request stays in this zone while an endpoint
                here can take it.
        """
        by_zone: dict[str, list[endpoint_view.EndpointView]] = {}
        for endpoint in available:
            zone = endpoint.record.zone
            if zone != self._zone or not endpoint.is_failing(now_s):
                by_zone.setdefault(zone, []).append(endpoint)
        if len(by_zone) <= 1 and self._zone not in by_zone:
            return available
        zones = self._get(service)
        if refusals >= REFUSALS_WITHIN_FASTER:
            return available
        if refusals >= REFUSALS_WITHIN_SHARES:
            return self._find_faster(zones, by_zone) or available
        if stays and self._zone in by_zone:
            return by_zone[self._zone]
        chosen = zones.choose_zone(self._generator, by_zone)
        return available if chosen is None else by_zone[chosen]

    def spill(
        self,
        service: str,
        found: endpoint_view.EndpointView,
        available: list[endpoint_view.EndpointView],
        now_s: float,
    ) -> list[endpoint_view.EndpointView]:
        """Returns endpoints of another zone for a request that would wait.

        Args:
            service: Name of the service.
            found: The endpoint in this zone that would get the request.
            available: Endpoints that can take the request.
            now_s: Monotonic time in seconds.

        Returns:
            The endpoints; none if the request is to stay.
        """
        zones = self._get(service)
        if not zones.may_spill:
            return []
        zone = zones.find_spill(self._generator, _cost(found, now_s))
        return [each for each in available if each.record.zone == zone]

    def _find_faster(
        self,
        zones: service_zones.ServiceZones,
        by_zone: dict[str, list[endpoint_view.EndpointView]],
    ) -> list[endpoint_view.EndpointView]:
        return [
            endpoint
            for zone, listed in by_zone.items()
            if zones.takes_refused(zone)
            for endpoint in listed
        ]

    def _get(self, service: str) -> service_zones.ServiceZones:
        zones = self._services.get(service)
        if zones is None:
            zones = service_zones.ServiceZones(
                service, self._zone, self._settings, cost_time.LoadTime()
            )
            self._services[service] = zones
        return zones


def _cost(
    endpoint: endpoint_view.EndpointView, now_s: float
) -> endpoint_cost.EndpointCost:
    return endpoint_cost.EndpointCost(
        endpoint.cost(now_s), endpoint.record.slots
    )
