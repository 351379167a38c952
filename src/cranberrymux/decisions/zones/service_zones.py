"""Zones of one service as seen by one node."""

from collections.abc import Collection
from collections.abc import Mapping
import math
import random

from cranberrymux.decisions.zones import cost_time as cost_time_module
from cranberrymux.decisions.zones import endpoint_cost
from cranberrymux.decisions.zones import share_change
from cranberrymux.decisions.zones import zone_condition
from cranberrymux.decisions.zones import zone_estimate
from cranberrymux.decisions.zones import zone_settings
from cranberrymux.decisions.zones import zone_shares

UPDATE_INTERVAL_S = 0.1
# Steps made up for after a time without requests.
MAXIMUM_STEPS = 3
NOTICEABLE_CHANGE = 0.1  # Change of a share that is reported.
# Longest round trip that is learned, as a multiple of the expected time.
MAXIMUM_LATENCY_RATIO = 0.5


class ServiceZones:
    """Decides which zone each request for one service goes to."""

    def __init__(
        self,
        service: str,
        own_zone: str,
        settings: zone_settings.ZoneSettings,
        cost_time: cost_time_module.CostTime,
    ) -> None:
        """Starts with all requests in the own zone.

        Args:
            service: Name of the service.
            own_zone: Availability zone of this node.
            settings: What it costs to leave that zone.
            cost_time: Converts the costs of the endpoints to seconds.
        """
        self._service = service
        self._own_zone = own_zone
        self._settings = settings
        self._cost_time = cost_time
        self._estimates: dict[str, zone_estimate.ZoneEstimate] = {}
        self._shares = zone_shares.ZoneShares(own_zone, settings)
        self._updated_at_s = -math.inf
        self._expected_s: dict[str, float] = {}
        self._reported: dict[str, float] = {}

    @property
    def shares(self) -> Mapping[str, float]:
        """Share of each other zone that has one, 0 to 1."""
        return self._shares.shares

    def note_answer(
        self,
        zone: str,
        now_s: float,
        endpoint: endpoint_cost.EndpointCost,
        answer_s: float | None,
    ) -> None:
        """Learns from an answer of an endpoint.

        Args:
            zone: Availability zone of the endpoint.
            now_s: Monotonic time in seconds.
            endpoint: Its cost right after the answer.
            answer_s: Seconds from sending the request to its answer; None if
                the endpoint refused it.
        """
        estimate = self._estimates.get(zone)
        if estimate is None:
            estimate = zone_estimate.ZoneEstimate()
            self._estimates[zone] = estimate
        estimate.note_cost(now_s, endpoint.cost)
        if answer_s is not None:
            estimate.note_answer_time(now_s, answer_s)
            self._cost_time.note_answer(answer_s, endpoint)

    def update(
        self,
        now_s: float,
        endpoints: Mapping[str, list[endpoint_cost.EndpointCost]],
    ) -> None:
        """Moves the shares; to be called each `UPDATE_INTERVAL_S`.

        Args:
            now_s: Monotonic time in seconds.
            endpoints: By zone, the endpoints that take requests.
        """
        conditions = {
            zone: self._make_condition(zone, now_s, listed)
            for zone, listed in endpoints.items()
            if listed
        }
        self._expected_s = {
            zone: each.expected_s for zone, each in conditions.items()
        }
        elapsed_s = now_s - self._updated_at_s
        steps = int(min(elapsed_s / UPDATE_INTERVAL_S, MAXIMUM_STEPS))
        if self._updated_at_s == -math.inf:
            steps = 1
        for _ in range(steps):
            self._shares.update(conditions)
        self._updated_at_s = now_s

    def choose_zone(
        self, generator: random.Random, present: Collection[str]
    ) -> str | None:
        """Draws the zone of a request.

        Args:
            generator: Random generator of the draw.
            present: Zones that can take the request.

        Returns:
            One of `present`; None if none of them has a share.
        """
        shares = self._shares.shares
        if self._own_zone in present:
            if not shares:
                return self._own_zone
            point = generator.random()
        else:
            known = sum(shares.get(zone, 0.0) for zone in present)
            if not known:
                return None
            point = generator.random() * known
        for zone, share in shares.items():
            if zone not in present:
                continue
            point -= share
            if point < 0.0:
                return zone
        return self._own_zone if self._own_zone in present else zone

    @property
    def may_spill(self) -> bool:
        """True if some zone is less full than the own one."""
        return self._shares.has_faster

    def find_spill(
        self,
        generator: random.Random,
        endpoint: endpoint_cost.EndpointCost,
    ) -> str | None:
        """Returns the zone of a request that would wait in the own zone.

        Args:
            generator: Random generator of the draw.
            endpoint: The endpoint in the own zone that would get it.

        Returns:
            Another zone, or None for a request that is to stay.
        """
        expected_s = self._cost_time.expected_s(endpoint)
        return self._shares.draw_spill(generator.random(), expected_s)

    def takes_refused(self, zone: str) -> bool:
        """True if a request that was refused in the own zone may go there.

        Otherwise, where all zones are full alike, each refused request would
        be carried to another zone to be refused there.
        """
        return zone == self._own_zone or self._shares.is_faster(zone)

    def pop_change(self) -> share_change.ShareChange | None:
        """Returns the shares if they have changed noticeably since the last."""
        shares = self._shares.shares
        zones = shares.keys() | self._reported.keys()
        is_changed = any(
            abs(shares.get(zone, 0.0) - self._reported.get(zone, 0.0))
            >= NOTICEABLE_CHANGE
            for zone in zones
        )
        is_ended = bool(self._reported) and not shares
        if not is_changed and not is_ended:
            return None
        self._reported = dict(shares)
        return self.describe()

    def describe(self) -> share_change.ShareChange:
        """Returns the present shares, and the figures they follow from."""
        return share_change.ShareChange(
            self._service,
            dict(self._shares.shares),
            dict(self._expected_s),
            dict(self._shares.gains_s),
        )

    def _make_condition(
        self,
        zone: str,
        now_s: float,
        endpoints: list[endpoint_cost.EndpointCost],
    ) -> zone_condition.ZoneCondition:
        seen = endpoint_cost.mean_of_cheaper(endpoints)
        estimate = self._estimates.get(zone)
        if estimate is not None:
            seen = seen._replace(cost=estimate.cost(now_s, seen.cost))
        expected_s = self._cost_time.expected_s(seen)
        return zone_condition.ZoneCondition(
            expected_s,
            sum(each.slots for each in endpoints),
            self._find_latency_s(zone, expected_s),
        )

    def _find_latency_s(self, zone: str, expected_s: float) -> float:
        """Returns the additional round trip time to a zone."""
        own = self._estimates.get(self._own_zone)
        other = self._estimates.get(zone)
        if zone == self._own_zone:
            return 0.0
        own_s = own.shortest_answer_s if own else None
        other_s = other.shortest_answer_s if other else None
        if own_s is None or other_s is None:
            return self._settings.latency_s
        maximum_s = MAXIMUM_LATENCY_RATIO * expected_s
        return min(max(other_s - own_s, 0.0), maximum_s)
