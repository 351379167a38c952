"""Leases of announced endpoints, and reads of them by revision."""

from collections.abc import Iterable

from cranberrymux.decisions.directory import delta
from cranberrymux.decisions.directory import endpoint_lease
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

_GONE = endpoint_state.EndpointState.GONE


class EndpointTable:
    """Leased endpoints: the soft state of one control instance.

    After a start, or after a pause of the process, endpoints may be alive that
    the table has not heard from. For the duration of one lease its deltas are
    therefore incremental and no lease ends, so that no node drops an endpoint
    that is merely not announced yet.
    """

    def __init__(self, lease_s: float, tombstone_s: float, now_s: float):
        """Creates an empty table.

        Args:
            lease_s: Duration of the lease that an announcement renews.
            tombstone_s: Time for which a tombstone, the record of a gone
                endpoint, is kept.
            now_s: Monotonic time.
        """
        self._lease_s = lease_s
        self._tombstone_s = tombstone_s
        self._services: dict[str, dict[str, endpoint_lease.EndpointLease]] = {}
        self._service_by_endpoint: dict[str, str] = {}
        self._revision_by_service: dict[str, int] = {}
        self._revision = 0
        # Deltas since an older revision would lack a removed record.
        self._minimum_delta_revision = 0
        self._last_tick_s = now_s
        self._complete_at_s = now_s + lease_s

    @property
    def revision(self) -> int:
        """Number of record changes since the start."""
        return self._revision

    def is_complete(self, now_s: float) -> bool:
        """True if one lease has passed since the start or the last pause.

        Every live endpoint has announced itself by then.
        """
        return now_s >= self._complete_at_s

    def records(self) -> list[endpoint_record.EndpointRecord]:
        """Returns all records with tombstones, sorted by service and id."""
        return [
            lease.record
            for _, leases in sorted(self._services.items())
            for _, lease in sorted(leases.items())
        ]

    def find(self, endpoint_id: str) -> endpoint_record.EndpointRecord | None:
        """Returns the record of an endpoint, or None if it is unknown."""
        lease = self._find(endpoint_id)
        return lease.record if lease else None

    def announce(
        self, record: endpoint_record.EndpointRecord, now_s: float
    ) -> bool:
        """Stores the record of an endpoint and renews its lease.

        An older record is ignored. The record of an ended lease is accepted
        once more, unless the endpoint itself announced that it is gone.

        Returns:
            True if the stored record changed.
        """
        known = self._find(record.endpoint_id)
        if known is None or _order(record) > _order(known.record):
            self._put(record, now_s, record.state is _GONE)
            return True
        if _order(record) < _order(known.record) or known.has_left:
            return False
        if known.record.state is _GONE:
            self._put(record, now_s, record.state is _GONE)
            return True
        leases = self._services[known.record.service]
        leases[record.endpoint_id] = known._replace(
            expires_s=now_s + self._lease_s
        )
        return False

    def tick(self, now_s: float) -> list[endpoint_record.EndpointRecord]:
        """Ends expired leases and removes expired tombstones.

        It must be called several times per lease: a gap of more than half a
        lease counts as a pause of the process and extends all leases.

        Returns:
            The records whose lease ended, in their state before that.
        """
        pause_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if pause_s > self._lease_s / 2:
            self._extend_leases(pause_s, now_s)
        if not self.is_complete(now_s):
            return []
        ended = []
        for lease in self._list_expired(now_s):
            if lease.record.state is _GONE:
                self._remove_tombstone(lease)
                continue
            self._put(lease.record._replace(state=_GONE), now_s, False)
            ended.append(lease.record)
        return ended

    def read(
        self, services: Iterable[str], revision: int, now_s: float
    ) -> delta.Delta:
        """Returns the changes of some services since a revision.

        Args:
            services: Names of the services.
            revision: `Delta.revision` of the reader's last read of exactly
                these services; 0 for a complete read.
            now_s: Monotonic time.
        """
        is_known = self._minimum_delta_revision <= revision <= self._revision
        is_whole = revision == 0 or not is_known
        since = 0 if is_whole else revision
        records = []
        for service in services:
            if self._revision_by_service.get(service, 0) <= since:
                continue
            for lease in self._services[service].values():
                if lease.revision <= since:
                    continue
                if is_whole and lease.record.state is _GONE:
                    continue
                records.append(lease.record)
        if not self.is_complete(now_s):
            return delta.Delta(0, False, tuple(records))
        return delta.Delta(self._revision, is_whole, tuple(records))

    def _find(self, endpoint_id: str) -> endpoint_lease.EndpointLease | None:
        service = self._service_by_endpoint.get(endpoint_id)
        if service is None:
            return None
        return self._services[service][endpoint_id]

    def _put(
        self,
        record: endpoint_record.EndpointRecord,
        now_s: float,
        has_left: bool,
    ) -> None:
        self._revision += 1
        old_service = self._service_by_endpoint.get(record.endpoint_id)
        if old_service is not None and old_service != record.service:
            del self._services[old_service][record.endpoint_id]
            self._minimum_delta_revision = self._revision
        is_gone = record.state is _GONE
        kept_s = self._tombstone_s if is_gone else self._lease_s
        self._service_by_endpoint[record.endpoint_id] = record.service
        self._revision_by_service[record.service] = self._revision
        self._services.setdefault(record.service, {})[record.endpoint_id] = (
            endpoint_lease.EndpointLease(
                record, now_s + kept_s, self._revision, has_left
            )
        )

    def _remove_tombstone(
        self, tombstone: endpoint_lease.EndpointLease
    ) -> None:
        endpoint_id = tombstone.record.endpoint_id
        del self._service_by_endpoint[endpoint_id]
        del self._services[tombstone.record.service][endpoint_id]
        self._minimum_delta_revision = max(
            self._minimum_delta_revision, tombstone.revision
        )

    def _list_expired(self, now_s: float) -> list[endpoint_lease.EndpointLease]:
        return [
            lease
            for leases in self._services.values()
            for lease in leases.values()
            if lease.expires_s <= now_s
        ]

    def _extend_leases(self, pause_s: float, now_s: float) -> None:
        self._complete_at_s = now_s + self._lease_s
        for leases in self._services.values():
            for endpoint_id, lease in leases.items():
                leases[endpoint_id] = lease._replace(
                    expires_s=lease.expires_s + pause_s
                )


def _order(record: endpoint_record.EndpointRecord) -> tuple[int, int]:
    return record.incarnation, record.sequence
