"""The directory of announced endpoints."""

from collections.abc import Iterable

from cranberrymux.decisions.directory import delta
from cranberrymux.decisions.directory import entry
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

_GONE = endpoint_state.EndpointState.GONE


class Table:
    """Endpoints under leases, soft state of one control instance.

    After a start, or after a pause in which it could not listen, a table does
    not know who lives. Until one lease has passed its deltas only add, and no
    lease ends, so that no node drops an endpoint for the table's ignorance.
    """

    def __init__(self, lease_s: float, tombstone_s: float, now_s: float):
        """Starts empty.

        Args:
            lease_s: How long an announcement counts.
            tombstone_s: How long it is remembered that an endpoint is gone.
            now_s: Monotonic time.
        """
        self._lease_s = lease_s
        self._tombstone_s = tombstone_s
        self._services: dict[str, dict[str, entry.Entry]] = {}
        self._service_of: dict[str, str] = {}
        self._changed_in: dict[str, int] = {}
        self._revision = 0
        self._forgotten_revision = 0
        self._last_tick_s = now_s
        self._complete_at_s = now_s + lease_s

    @property
    def revision(self) -> int:
        """Count of changes so far."""
        return self._revision

    def is_complete(self, now_s: float) -> bool:
        """True if every live endpoint had a lease's time to announce."""
        return now_s >= self._complete_at_s

    def records(self) -> list[endpoint_record.EndpointRecord]:
        """Every record, tombstones among them, by service and id."""
        return [
            found.record
            for _, entries in sorted(self._services.items())
            for _, found in sorted(entries.items())
        ]

    def find(self, endpoint_id: str) -> endpoint_record.EndpointRecord | None:
        """Returns the record of an endpoint, if there is one."""
        found = self._find(endpoint_id)
        return found.record if found else None

    def announce(
        self, record: endpoint_record.EndpointRecord, now_s: float
    ) -> bool:
        """Takes news of an endpoint and renews its lease.

        Returns:
            True if the record changed; False for known or older news.
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
        entries = self._services[known.record.service]
        entries[record.endpoint_id] = known._replace(
            expires_s=now_s + self._lease_s
        )
        return False

    def tick(self, now_s: float) -> list[endpoint_record.EndpointRecord]:
        """Ends leases; to be called several times in a lease.

        Returns:
            The records whose lease ended.
        """
        pause_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if pause_s > self._lease_s / 2:
            self._extend(pause_s, now_s)
        if not self.is_complete(now_s):
            return []
        ended = []
        for found in self._expired(now_s):
            if found.record.state is _GONE:
                self._forget(found)
                continue
            self._put(found.record._replace(state=_GONE), now_s, False)
            ended.append(found.record)
        return ended

    def read(
        self, services: Iterable[str], revision: int, now_s: float
    ) -> delta.Delta:
        """Returns what changed in some services after a revision.

        Args:
            services: Names of the services.
            revision: The last revision the asker has for just these
                services; 0 for none.
            now_s: Monotonic time.
        """
        is_known = self._forgotten_revision <= revision <= self._revision
        is_whole = revision == 0 or not is_known
        since = 0 if is_whole else revision
        records = []
        for service in services:
            if self._changed_in.get(service, 0) <= since:
                continue
            for found in self._services[service].values():
                if found.revision <= since:
                    continue
                if is_whole and found.record.state is _GONE:
                    continue
                records.append(found.record)
        if not self.is_complete(now_s):
            return delta.Delta(0, False, tuple(records))
        return delta.Delta(self._revision, is_whole, tuple(records))

    def _find(self, endpoint_id: str) -> entry.Entry | None:
        service = self._service_of.get(endpoint_id)
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
        before = self._service_of.get(record.endpoint_id)
        if before is not None and before != record.service:
            del self._services[before][record.endpoint_id]
            self._forgotten_revision = self._revision
        is_gone = record.state is _GONE
        kept_s = self._tombstone_s if is_gone else self._lease_s
        self._service_of[record.endpoint_id] = record.service
        self._changed_in[record.service] = self._revision
        self._services.setdefault(record.service, {})[record.endpoint_id] = (
            entry.Entry(record, now_s + kept_s, self._revision, has_left)
        )

    def _forget(self, found: entry.Entry) -> None:
        endpoint_id = found.record.endpoint_id
        del self._service_of[endpoint_id]
        del self._services[found.record.service][endpoint_id]
        self._forgotten_revision = max(self._forgotten_revision, found.revision)

    def _expired(self, now_s: float) -> list[entry.Entry]:
        return [
            found
            for entries in self._services.values()
            for found in entries.values()
            if found.expires_s <= now_s
        ]

    def _extend(self, pause_s: float, now_s: float) -> None:
        self._complete_at_s = now_s + self._lease_s
        for entries in self._services.values():
            for endpoint_id, found in entries.items():
                entries[endpoint_id] = found._replace(
                    expires_s=found.expires_s + pause_s
                )


def _order(record: endpoint_record.EndpointRecord) -> tuple[int, int]:
    return record.incarnation, record.sequence
