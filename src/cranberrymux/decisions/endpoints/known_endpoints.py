"""The known endpoints of all services, and the subset that a node prefers."""

from collections.abc import Iterable

from cranberrymux.decisions.endpoints import endpoint_view
from cranberrymux.decisions.endpoints import service_speed
from cranberrymux.decisions.routing import endpoint_subset
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state


class KnownEndpoints:
    """Keeps the newest record of each endpoint.

    A record replaces the one held only if its `(incarnation, sequence)` is
    higher.
    """

    def __init__(self, node_id: str, zone: str) -> None:
        """Starts without endpoints.

        Args:
            node_id: Id of this node, which determines its subsets.
            zone: Availability zone of this node.
        """
        self._node_id = node_id
        self._zone = zone
        self._services: dict[str, dict[str, endpoint_view.EndpointView]] = {}
        self._service_of: dict[str, str] = {}
        self._speeds: dict[str, service_speed.ServiceSpeed] = {}
        # By service; missing after a change of its endpoints.
        self._subsets: dict[str, list[endpoint_view.EndpointView]] = {}

    @property
    def count(self) -> int:
        """Number of endpoints known, in any state."""
        return len(self._service_of)

    def update(
        self, records: Iterable[endpoint_record.EndpointRecord]
    ) -> set[str]:
        """Applies records from the directory, in any order.

        Returns:
            Services of which a rate limit ended with the process that named it.
        """
        return {
            record.service for record in records if self._apply_record(record)
        }

    def find(self, endpoint_id: str) -> endpoint_view.EndpointView | None:
        """Returns the endpoint with this id, or None if it is unknown."""
        service = self._service_of.get(endpoint_id, "")
        return self._services.get(service, {}).get(endpoint_id)

    def usable_endpoints(
        self, service: str
    ) -> list[endpoint_view.EndpointView]:
        """Returns the endpoints of a service that accept new requests."""
        return [
            endpoint
            for endpoint in self._services.get(service, {}).values()
            if endpoint.is_usable
        ]

    def _get_subset(self, service: str) -> list[endpoint_view.EndpointView]:
        """Returns the endpoints of a service that this node prefers."""
        subset = self._subsets.get(service)
        if subset is None:
            views = self._services.get(service, {})
            chosen = endpoint_subset.choose_subset(
                self._node_id,
                self._zone,
                (
                    endpoint_subset.Candidate(endpoint_id, view.record.zone)
                    for endpoint_id, view in views.items()
                    if view.record.state is endpoint_state.EndpointState.SERVING
                ),
            )
            subset = [
                view
                for endpoint_id, view in views.items()
                if endpoint_id in chosen
            ]
            self._subsets[service] = subset
        return subset

    def _apply_record(self, record: endpoint_record.EndpointRecord) -> bool:
        """Applies one record; returns True if a rate limit ended with it."""
        endpoint_id = record.endpoint_id
        old_service = self._service_of.get(endpoint_id)
        known = self.find(endpoint_id)
        if known is not None and _version(known.record) > _version(record):
            return False
        if known is not None and _version(known.record) == _version(record):
            # The same version in two states: a control instance on which the
            # lease of the endpoint's node has expired reports it as gone,
            # while another one, or the same one later, reports it as serving.
            known.is_confirmed = record.state is known.record.state
            return False
        if old_service is not None and old_service != record.service:
            self._services[old_service].pop(endpoint_id).forget_speed()
            self._subsets.pop(old_service, None)
            known = None
        self._service_of[endpoint_id] = record.service
        if known is None:
            speed = self._speeds.setdefault(
                record.service, service_speed.ServiceSpeed()
            )
            known = endpoint_view.EndpointView(record, speed)
            self._services.setdefault(record.service, {})[endpoint_id] = known
            self._subsets.pop(record.service, None)
        elif (known.record.state, known.record.zone) != (
            record.state,
            record.zone,
        ):
            self._subsets.pop(record.service, None)
        if record.state is endpoint_state.EndpointState.GONE:
            known.forget_speed()
        known.is_confirmed = True
        return known.update(record)


def _version(record: endpoint_record.EndpointRecord) -> tuple[int, int]:
    return record.incarnation, record.sequence
