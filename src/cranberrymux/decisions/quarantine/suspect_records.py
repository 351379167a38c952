"""Table of records of suspects, bounded in number and age."""

import collections
from collections.abc import Iterable

from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import report_kind
from cranberrymux.decisions.quarantine import suspect_record
from cranberrymux.decisions.quarantine import suspect_report


class SuspectRecords:
    """Keeps the records by key, in the order of their last use.

    Attributes:
        by_key: The records, which only this class changes.
    """

    def __init__(
        self, settings: quarantine_settings.QuarantineSettings
    ) -> None:
        """Creates a table without records.

        Args:
            settings: Age and number of records to keep.
        """
        self._settings = settings
        self.by_key: collections.OrderedDict[
            str, suspect_record.SuspectRecord
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of stored records."""
        return len(self.by_key)

    def get(
        self, now_s: float, key: str
    ) -> suspect_record.SuspectRecord | None:
        """Returns the record of a key; None if absent or expired."""
        record = self.by_key.get(key)
        if record is None or self._is_expired(now_s, record):
            return None
        return record

    def find(
        self, now_s: float, keys: Iterable[str]
    ) -> dict[str, suspect_record.SuspectRecord]:
        """Returns the records that exist among some keys, by key."""
        found = {}
        for key in keys:
            record = self.get(now_s, key)
            if record is not None:
                found[key] = record
        return found

    def put(self, key: str, record: suspect_record.SuspectRecord) -> None:
        """Stores a record and drops expired and excess records."""
        self.by_key[key] = record
        self.by_key.move_to_end(key)
        self._drop_expired(record.used_s)
        while len(self.by_key) > self._settings.maximum_records:
            del self.by_key[self._find_evictable()]

    def merge(
        self, now_s: float, reports: Iterable[suspect_report.SuspectReport]
    ) -> list[suspect_report.SuspectReport]:
        """Adds reports; returns those that were not known."""
        new = []
        for report in reports:
            old = self.get(now_s, report.key) or suspect_record.EMPTY
            record = old.add(report)
            if record is old:
                continue
            new.append(report)
            self.put(report.key, record._replace(changed_s=now_s, used_s=now_s))
        return new

    def clear(
        self, now_s: float, key: str
    ) -> list[suspect_report.SuspectReport]:
        """Clears the deaths and trials of a key; returns the reports of it."""
        record = self.get(now_s, key) or suspect_record.EMPTY
        reports = [
            suspect_report.SuspectReport(
                key, report_kind.ReportKind.CLEARED, event_id
            )
            for event_id in sorted(record.open_events)
        ]
        self.merge(now_s, reports)
        return reports

    def add_digest(self, now_s: float, id_key: str, digest: str) -> None:
        """Records that a call of a request was in flight at a death.

        Args:
            now_s: Monotonic seconds.
            id_key: Key of the request id.
            digest: Digest of the call.
        """
        record = self.get(now_s, id_key) or suspect_record.EMPTY
        digests = record.digests | {digest}
        self.put(id_key, record._replace(digests=digests))

    def remove_digest(self, now_s: float, id_key: str, digest: str) -> bool:
        """Records that a call of a request has run to its end.

        Args:
            now_s: Monotonic seconds.
            id_key: Key of the request id.
            digest: Digest of the call.

        Returns:
            True if it was in flight at a death and no other call that was is
            left, which could be the cause of the death.
        """
        record = self.get(now_s, id_key) or suspect_record.EMPTY
        if digest not in record.digests:
            return False
        left = record.digests - {digest}
        self.put(
            id_key,
            record._replace(digests=left, changed_s=now_s, used_s=now_s),
        )
        return not left

    def get_latest_reports(
        self, now_s: float, key_count: int
    ) -> list[suspect_report.SuspectReport]:
        """Returns all that is known of the keys that were used last."""
        reports = []
        for key in list(self.by_key)[-key_count:]:
            record = self.get(now_s, key) or suspect_record.EMPTY
            reports += record.make_reports(key)
        return reports

    def take_unshared(
        self, now_s: float, key: str, interval_s: float
    ) -> list[suspect_report.SuspectReport]:
        """Returns what is known of a key unless that was shared recently.

        Args:
            now_s: Monotonic seconds, from which the reports count as shared.
            key: Key of the record.
            interval_s: Seconds within which the reports are not shared again.
        """
        record = self.get(now_s, key) or suspect_record.EMPTY
        since_s = max(record.changed_s, record.reported_s)
        if not record.open_deaths or now_s - since_s < interval_s:
            return []
        self.put(key, record._replace(reported_s=now_s))
        return record.make_reports(key)

    def _is_expired(
        self, now_s: float, record: suspect_record.SuspectRecord
    ) -> bool:
        return now_s - record.used_s >= self._settings.retention_s

    def _drop_expired(self, now_s: float) -> None:
        while self.by_key:
            key, record = next(iter(self.by_key.items()))
            if not self._is_expired(now_s, record):
                return
            del self.by_key[key]

    def _find_evictable(self) -> str:
        """Returns the oldest key that is not refused, or else the oldest."""
        refuses = self._settings.refuses
        for key, record in self.by_key.items():
            if not refuses(record.open_deaths, was_sole=record.was_sole):
                return key
        return next(iter(self.by_key))
