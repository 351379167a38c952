"""Load balancing among the known endpoints of a service.

A node sends the requests for a service to a subset of its endpoints, unless
those can take none. Requests stay in the node's availability zone unless they
gain by leaving it; see `zone_balancer`. The choice within a zone is that of
`power_of_two`.
"""

from collections.abc import Collection
import math
import random

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.endpoints import known_endpoints
from cranberrymux.decisions.endpoints import power_of_two
from cranberrymux.decisions.endpoints import zone_balancer
from cranberrymux.decisions.zones import zone_settings

# A request that so many endpoints refused may go beyond the subset.
REFUSALS_WITHIN_SUBSET = 2


class EndpointSet(known_endpoints.KnownEndpoints):
    """Picks an endpoint for each request among those that are known.

    Attributes:
        zones: Shares of the zones.
    """

    def __init__(
        self,
        node_id: str,
        zone: str,
        generator: random.Random,
        settings: zone_settings.ZoneSettings | None = None,
    ) -> None:
        """Starts without endpoints.

        Args:
            node_id: Id of this node, which determines its subsets.
            zone: Availability zone of this node.
            generator: Random generator of the choices among endpoints.
            settings: What it costs to leave the zone; None for the defaults.
        """
        super().__init__(node_id, zone)
        self._generator = generator
        self.zones = zone_balancer.ZoneBalancer(
            zone, settings or zone_settings.ZoneSettings(), generator
        )

    def has_unlimited(self, service: str, now_s: float) -> bool:
        """True if an endpoint takes requests and names no rate limit.

        Args:
            service: Name of the service.
            now_s: Monotonic time in seconds.
        """
        return any(
            endpoint.rate_limit.per_s is None
            and not endpoint.is_suspended(now_s)
            and not endpoint.is_ejected(now_s)
            for endpoint in self.usable_endpoints(service)
        )

    def note_sent(
        self, endpoint: endpoint_view.EndpointView, now_s: float
    ) -> None:
        """Records that a request is sent to an endpoint."""
        per_s = endpoint.rate_limit.per_s
        if per_s is not None:
            # Requests begin at every node, and each endpoint has one beside it.
            endpoint.pace.note_sent(now_s, per_s, self.count, self._generator)

    def choose(
        self,
        service: str,
        now_s: float,
        tried: Collection[str],
        allowed: Collection[str] | None = None,
        *,
        stays: bool = False,
    ) -> endpoint_view.EndpointView | None:
        """Picks the endpoint for a request.

        It is one of this node's subset, unless that has none to offer. If every
        endpoint left is suspended, one of them is picked at random: the fault
        is then more likely on this node's side.

        Args:
            service: Name of the service that the request is for.
            now_s: Monotonic time in seconds.
            tried: Ids of the endpoints to leave out, since they already had
                the request.
            allowed: Ids of the endpoints that may get the request; None for
                any.
            stays: True if the request stays in this node's zone while an
                endpoint there can take it, since its tree has left a zone
                before.

        Returns:
            The endpoint, or None if no endpoint may get the request.
        """
        if now_s >= self.zones.due_s.get(service, -math.inf):
            self._update_zones(service, now_s)
        if allowed is None and len(tried) < REFUSALS_WITHIN_SUBSET:
            available = [
                endpoint
                for endpoint in (
                    self._subsets.get(service) or self._get_subset(service)
                )
                if endpoint.takes_requests(now_s)
                and endpoint.record.endpoint_id not in tried
            ]
            if len(available) == 1:
                return available[0]
            if available:
                return self._choose_by_zone(
                    service, available, now_s, len(tried), stays
                )
        eligible = [
            endpoint
            for endpoint in self.usable_endpoints(service)
            if endpoint.record.endpoint_id not in tried
            and (allowed is None or endpoint.record.endpoint_id in allowed)
        ]
        available = [
            endpoint
            for endpoint in eligible
            if not endpoint.is_suspended(now_s)
        ]
        if not available:
            return self._generator.choice(eligible) if eligible else None
        available = [
            endpoint for endpoint in available if not endpoint.is_ejected(now_s)
        ] or available
        # Without room anywhere, the nodes of the endpoints decide by rank.
        available = [
            endpoint for endpoint in available if endpoint.has_room(now_s)
        ] or available
        return self._choose_by_zone(
            service, available, now_s, len(tried), stays
        )

    def _update_zones(self, service: str, now_s: float) -> None:
        """Computes anew which share of the requests goes to which zone."""
        for endpoints in (
            self._get_subset(service),
            self.usable_endpoints(service),
        ):
            taking = [
                endpoint
                for endpoint in endpoints
                if endpoint.takes_requests(now_s)
            ]
            if taking:
                break
        self.zones.update(service, now_s, taking)

    def _choose_by_zone(
        self,
        service: str,
        available: list[endpoint_view.EndpointView],
        now_s: float,
        refusals: int,
        stays: bool,
    ) -> endpoint_view.EndpointView | None:
        """Picks an endpoint of the zone that the request goes to."""
        narrowed = self.zones.narrow(
            service, available, now_s, refusals, stays=stays
        )
        found = self._choose_cheaper_of_two(narrowed, now_s)
        if found is None or stays or found.record.zone != self._zone:
            return found
        spilled = self.zones.spill(service, found, available, now_s)
        if not spilled:
            return found
        return self._choose_cheaper_of_two(spilled, now_s) or found

    def _choose_cheaper_of_two(
        self, endpoints: list[endpoint_view.EndpointView], now_s: float
    ) -> endpoint_view.EndpointView | None:
        drawn = power_of_two.draw(endpoints, self._generator)
        return power_of_two.find_cheaper(drawn, now_s)
