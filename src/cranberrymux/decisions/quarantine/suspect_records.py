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

    def get_latest_reports(
        self, now_s: float, key_count: int
    ) -> list[suspect_report.SuspectReport]:
        """Returns all that is known of the keys that were used last."""
        reports = []
        for key in list(self.by_key)[-key_count:]:
            record = self.get(now_s, key) or suspect_record.EMPTY
            reports += record.make_reports(key)
        return reports

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
