"""Applies what the control instances tell a gateway."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from cranberrymux.gateway import confirmation_watch
from cranberrymux.gateway import control_connections
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import routes_holder
from cranberrymux.models import endpoint_record
from cranberrymux.node import suspect_sharing


class ControlUpdates:
    """Takes the contents of the answers to heartbeats.

    Implements `directory_task.DirectoryListener`.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        routes: routes_holder.RoutesHolder,
        connections: control_connections.ControlConnections,
        on_drain: Callable[[], None],
    ) -> None:
        """Starts without any news.

        Args:
            parts: Shared state of the gateway.
            routes: Puts configurations in force.
            connections: Connections to the control instances.
            on_drain: Called when an operator drains this node.
        """
        self._parts = parts
        self._routes = routes
        self._connections = connections
        self._on_drain = on_drain
        self._confirmation = confirmation_watch.ConfirmationWatch(
            parts.clock.now_s()
        )

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force."""
        return self._routes.version

    def get_subscriptions(self) -> Sequence[str]:
        """Returns all services of the configuration, in alphabetical order."""
        table = self._routes.table
        if table is None:
            return ()
        return sorted(service.name for service in table.document.services)

    def endpoints_changed(
        self, records: Sequence[endpoint_record.EndpointRecord]
    ) -> None:
        """Updates the endpoints; their number divides the repeat budget."""
        parts = self._parts
        own = [
            record
            for record in records
            if record.service == parts.settings.service
        ]
        suspect_sharing.update_siblings(parts.siblings, parts.quarantine, own)
        parts.lost_hops.endpoints_changed(records)
        root_admission = parts.entry_admission.root_admission
        for service in parts.endpoints.update(records):
            root_admission.reset_service_share(service)
        parts.repeats.set_node_count(parts.endpoints.count)

    def suspects_changed(self, rows: Sequence[Any]) -> None:
        """Learns what the control instances know of crashing requests."""
        self._parts.quarantine.merge_rows(rows)

    def configuration_changed(self, version: int, document: str) -> None:
        """Puts a configuration in force if its version is higher."""
        self._routes.apply(version, document)

    def configuration_confirmed(
        self, version: int, asked_at_s: float, until_s: float
    ) -> None:
        """Renews the lease on keys if the version in force is the newest."""
        if version == self._routes.version:
            self._parts.key_lease.confirm(asked_at_s)
            self._confirmation.confirm(asked_at_s, version)

    def quota_owner_received(self, address: str) -> None:
        """Follows the control instance that hands out quota tokens."""
        self._parts.quotas.follow_owner(address)

    def drain_requested(self) -> None:
        """Marks the endpoint as draining, so that nodes stop choosing it."""
        self._on_drain()

    def control_instances_received(self, addresses: Sequence[str]) -> None:
        """Connects to control instances, given as `ip:port`, that are new."""
        self._connections.add_addresses(addresses, self._parts.clock.now_s())

    def check_confirmation(self) -> None:
        """Logs if the last confirmation is late; call it often."""
        self._confirmation.check(
            self._parts.clock.now_s(),
            self._routes.version,
            self._connections.open_count,
        )

    def update_metrics(self) -> None:
        """Updates the gauges of the configuration."""
        metrics = self._parts.metrics
        metrics.version.set(self._routes.version)
        metrics.confirmed_age_s.set(
            self._confirmation.age_s(self._parts.clock.now_s())
        )
