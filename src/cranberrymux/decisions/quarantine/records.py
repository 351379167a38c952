"""The records of all keys, bounded in number and age."""

import collections

from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.decisions.quarantine import record as record_module


class Records:
    """Records in order of their last change, the oldest in front."""

    def __init__(
        self, settings: quarantine_settings.QuarantineSettings
    ) -> None:
        """Starts empty."""
        self._settings = settings
        self._records: collections.OrderedDict[str, record_module.Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Number of records kept."""
        return len(self._records)

    def get(self, now_s: float, key: str) -> record_module.Record | None:
        """Returns the record of a key unless it is too old."""
        record = self._records.get(key)
        if record is None or self._is_old(now_s, record):
            return None
        return record

    def put(self, key: str, record: record_module.Record) -> None:
        """Keeps a record and drops what is too old or too much."""
        self._records[key] = record
        self._records.move_to_end(key)
        self._drop_old(record.changed_s)
        while len(self._records) > self._settings.maximum_records:
            del self._records[self._find_least()]

    def _is_old(self, now_s: float, record: record_module.Record) -> bool:
        return now_s - record.changed_s >= self._settings.life_s

    def _drop_old(self, now_s: float) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if not self._is_old(now_s, record):
                return
            del self._records[key]

    def _find_least(self) -> str:
        maximum = self._settings.maximum_deaths
        for key, record in self._records.items():
            if record.open_deaths < maximum:
                return key
        return next(iter(self._records))
