"""Rules of choosing a zone that the one of the product is compared with."""

from collections.abc import Callable
import random

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.endpoints import endpoint_view

LOCAL_LOAD_LIMIT = 0.7
ZONE_CHANGE_GAIN = 0.25

Views = list[endpoint_view.EndpointView]
Make = Callable[[str, str, random.Random], endpoint_set.EndpointSet]


class FixedLimit(endpoint_set.EndpointSet):
    """The former rule: the own zone below a load of 0.7, else any."""

    def _choose_by_zone(
        self,
        service: str,
        available: Views,
        now_s: float,
        refusals: int,
        stays: bool,
    ) -> endpoint_view.EndpointView | None:
        local = self._find_local(available, now_s)
        found = self._choose_cheaper_of_two(local, now_s)
        if found is not None and found.cost(now_s) < LOCAL_LOAD_LIMIT:
            return found
        return self._choose_cheaper_of_two(available, now_s)

    def _find_local(self, available: Views, now_s: float) -> Views:
        return [
            view
            for view in available
            if view.record.zone == self._zone and not view.is_failing(now_s)
        ]


class ChangeGain(FixedLimit):
    """The rule of commit 02062fc: another zone only if emptier by 0.25."""

    def _choose_by_zone(
        self,
        service: str,
        available: Views,
        now_s: float,
        refusals: int,
        stays: bool,
    ) -> endpoint_view.EndpointView | None:
        local = self._find_local(available, now_s)
        nearest = self._choose_cheaper_of_two(local, now_s)
        found = self._choose_cheaper_of_two(available, now_s)
        if nearest is None or found is None:
            return found
        cost = nearest.cost(now_s)
        if cost < LOCAL_LOAD_LIMIT:
            return nearest
        return nearest if found.cost(now_s) > cost - ZONE_CHANGE_GAIN else found


class OwnZone(FixedLimit):
    """Always the own zone, unless no endpoint there can take the request."""

    def _choose_by_zone(
        self,
        service: str,
        available: Views,
        now_s: float,
        refusals: int,
        stays: bool,
    ) -> endpoint_view.EndpointView | None:
        local = [view for view in available if view.record.zone == self._zone]
        return self._choose_cheaper_of_two(local or available, now_s)


class AnyZone(FixedLimit):
    """The cheaper of two endpoints, whatever their zones."""

    def _choose_by_zone(
        self,
        service: str,
        available: Views,
        now_s: float,
        refusals: int,
        stays: bool,
    ) -> endpoint_view.EndpointView | None:
        return self._choose_cheaper_of_two(available, now_s)


RULES: dict[str, Make] = {
    "shares": endpoint_set.EndpointSet,
    "limit 0.7": FixedLimit,
    "gain 0.25": ChangeGain,
    "own zone": OwnZone,
    "any zone": AnyZone,
}
