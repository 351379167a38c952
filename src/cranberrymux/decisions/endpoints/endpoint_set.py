"""The endpoints of all services, and the choice among them.

Keeps requests in their availability zone while there is room, and spreads the
rest by two choices, so that no endpoint is filled by callers that all see the
same report.
"""

from collections.abc import Collection
from collections.abc import Iterable
import random

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.models import endpoint_record

LOCAL_LOAD_LIMIT = 0.7  # Above this load, other availability zones are used.


class EndpointSet:
    """Chooses endpoints."""

    def __init__(self, zone: str, generator: random.Random) -> None:
        """Starts empty.

        Args:
            zone: Availability zone of this node.
            generator: Source of randomness.
        """
        self._zone = zone
        self._generator = generator
        self._services: dict[str, dict[str, endpoint_view.EndpointView]] = {}
        self._service_of: dict[str, str] = {}

    @property
    def count(self) -> int:
        """Endpoints that are known."""
        return len(self._service_of)

    def update(self, records: Iterable[endpoint_record.EndpointRecord]) -> None:
        """Takes news of the directory."""
        for record in records:
            self._update_one(record)

    def find(self, endpoint_id: str) -> endpoint_view.EndpointView | None:
        """Returns what is known of an endpoint."""
        service = self._service_of.get(endpoint_id, "")
        return self._services.get(service, {}).get(endpoint_id)

    def of(self, service: str) -> list[endpoint_view.EndpointView]:
        """Returns the endpoints of a service that take work."""
        return [
            one
            for one in self._services.get(service, {}).values()
            if one.is_usable
        ]

    def choose(
        self,
        service: str,
        now_s: float,
        tried: Collection[str],
        only: Collection[str] | None = None,
    ) -> endpoint_view.EndpointView | None:
        """Returns the endpoint for a request, or None if there is none.

        Args:
            service: The service that is to run it.
            now_s: Present time.
            tried: Ids of endpoints that have had it.
            only: Ids of the endpoints that may have it; None for all.
        """
        open_ = [
            one
            for one in self.of(service)
            if one.record.endpoint_id not in tried
            and (only is None or one.record.endpoint_id in only)
        ]
        able = [one for one in open_ if not one.is_suspended(now_s)]
        if not able:
            # All look bad at once: more likely the fault is on this side.
            return self._generator.choice(open_) if open_ else None
        local = [
            one
            for one in able
            if one.record.zone == self._zone and not one.is_failing(now_s)
        ]
        found = self._choose_two(local, now_s)
        if found is not None and found.cost(now_s) < LOCAL_LOAD_LIMIT:
            return found
        return self._choose_two(able, now_s)

    def _choose_two(
        self, endpoints: list[endpoint_view.EndpointView], now_s: float
    ) -> endpoint_view.EndpointView | None:
        if not endpoints:
            return None
        if len(endpoints) == 1:
            return endpoints[0]
        first, second = self._generator.sample(endpoints, 2)
        if second.cost(now_s) < first.cost(now_s):
            return second
        return first

    def _update_one(self, record: endpoint_record.EndpointRecord) -> None:
        endpoint_id = record.endpoint_id
        before = self._service_of.get(endpoint_id)
        known = self.find(endpoint_id)
        if known is not None and _order(known.record) > _order(record):
            return
        if known is not None and _order(known.record) == _order(record):
            # A control instance that lost touch with the endpoint's node says
            # that it is gone, another one, or the same later, that it serves.
            known.is_vouched = record.state is known.record.state
            return
        if before is not None and before != record.service:
            del self._services[before][endpoint_id]
            known = None
        self._service_of[endpoint_id] = record.service
        if known is None:
            known = endpoint_view.EndpointView(record)
            self._services.setdefault(record.service, {})[endpoint_id] = known
        known.record = record
        known.is_vouched = True


def _order(record: endpoint_record.EndpointRecord) -> tuple[int, int]:
    return record.incarnation, record.sequence
