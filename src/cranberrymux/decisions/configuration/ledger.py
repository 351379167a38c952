"""The replicated state machine of configuration changes."""

from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
from typing import Any

from cranberrymux.decisions.configuration import bounded_map
from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_answer
from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.configuration import difference
from cranberrymux.decisions.configuration import ledger_parts
from cranberrymux.decisions.configuration import ledger_settings
from cranberrymux.decisions.configuration import stored_answer


class ConfigurationLedger:
    """Accepted versions of the document and the answers to changes.

    Every replica applies the same changes in the same order and reaches the
    same state. Keeps the last history records and their differences, the last
    documents, and the answers to the last change ids, as many as the settings
    allow by number and by size.
    """

    def __init__(
        self,
        settings: ledger_settings.LedgerSettings = ledger_settings.DEFAULTS,
    ) -> None:
        """Creates a ledger at version 0 with an empty document.

        Args:
            settings: Limits of what is kept.
        """
        self._version = 0
        # Without their differences, which are dropped earlier.
        self._records = bounded_map.BoundedMap[int, change_record.ChangeRecord](
            settings.records, settings.record_characters, _record_size
        )
        self._differences = bounded_map.BoundedMap[int, str](
            settings.records, settings.difference_characters, _text_size
        )
        self._documents = bounded_map.BoundedMap[int, str](
            settings.documents, settings.document_characters, _text_size
        )
        self._answers = bounded_map.BoundedMap[str, stored_answer.StoredAnswer](
            settings.answers, settings.answer_characters, stored_answer.size
        )
        self._documents.add(0, "")

    @property
    def version(self) -> int:
        """Number of the last accepted version; 0 if there is none."""
        return self._version

    @property
    def document(self) -> str:
        """The YAML text of the last accepted version."""
        return self._documents.get(self._version) or ""

    def document_of(self, version: int) -> str | None:
        """Returns the YAML text of a version; None if it is not kept."""
        return self._documents.get(version)

    def answer_of(self, change_id: str) -> change_answer.ChangeAnswer | None:
        """Returns the first answer to a change; None if it is not kept.

        The record of the answer has an empty diff.
        """
        stored = self._answers.get(change_id)
        return None if stored is None else stored.answer

    def history(self, limit: int = 50) -> list[change_record.ChangeRecord]:
        """Returns the last accepted changes, newest first.

        The difference of an older one may be empty, as it is not kept.
        """
        newest_first = sorted(self._records, reverse=True)
        found = [self._record_of(version) for version in newest_first[:limit]]
        return [record for record in found if record is not None]

    def apply(
        self, requested: change.Change, at_ms: int
    ) -> change_answer.ChangeAnswer:
        """Applies a committed change.

        Args:
            requested: The change; the caller has validated its document.
            at_ms: When the leader received it, Unix milliseconds.

        Returns:
            The answer; a resend of the same change gets the first answer.
        """
        digest = _compute_digest(requested)
        stored = self._answers.get(requested.change_id)
        if stored is not None:
            return self._answer_resend(stored, digest)
        if requested.base_version == self._version:
            answer = self._accept(requested, at_ms)
        else:
            answer = self._reject(requested)
        self._answers.add(
            requested.change_id,
            stored_answer.StoredAnswer(digest, _without_difference(answer)),
        )
        return answer

    def dump(self) -> Iterator[dict[str, Any]]:
        """Returns the present state in parts of JSON-serializable values.

        The state is captured at the call; later changes do not show in the
        parts. Each holds one document, or some records or answers.
        """
        records = tuple(reversed(self.history(len(self._records))))
        documents = tuple(self._documents.items())
        answers = tuple(self._answers.items())
        return ledger_parts.dump(self._version, records, documents, answers)

    def restore(self, parts: Iterable[dict[str, Any]]) -> None:
        """Replaces the whole state by one that `dump` returned.

        Args:
            parts: The parts in their order. One part may hold all the state.
        """
        self._records.clear()
        self._differences.clear()
        self._documents.clear()
        self._answers.clear()
        for part in parts:
            self._restore_part(part)

    def _restore_part(self, part: dict[str, Any]) -> None:
        self._version = part.get("version", self._version)
        for values in part.get("records", ()):
            self._add_record(change_record.ChangeRecord(*values))
        for version, document in part.get("documents", ()):
            self._documents.add(version, document)
        for change_id, digest, *answer in part.get("answers", ()):
            stored = stored_answer.StoredAnswer(
                digest, ledger_parts.load_answer(*answer)
            )
            self._answers.add(change_id, stored)

    def _accept(
        self, requested: change.Change, at_ms: int
    ) -> change_answer.ChangeAnswer:
        version = self._version + 1
        diff = difference.compute(
            self.document,
            requested.document,
            f"version {self._version}",
            f"version {version}",
        )
        record = change_record.ChangeRecord(
            version,
            requested.base_version,
            requested.change_id,
            requested.author,
            at_ms,
            diff,
            requested.rollback_of,
        )
        self._add_record(record)
        self._documents.add(version, requested.document)
        self._version = version
        return change_answer.ChangeAnswer(
            change_verdict.ChangeVerdict.ACCEPTED, record, ""
        )

    def _add_record(self, record: change_record.ChangeRecord) -> None:
        self._records.add(record.version, record._replace(difference=""))
        self._differences.add(record.version, record.difference)

    def _record_of(self, version: int) -> change_record.ChangeRecord | None:
        record = self._records.get(version)
        if record is None:
            return None
        diff = self._differences.get(version) or ""
        return record._replace(difference=diff)

    def _reject(self, requested: change.Change) -> change_answer.ChangeAnswer:
        if requested.base_version > self._version:
            detail = (
                f"built on version {requested.base_version}, "
                f"which is not there: the last is {self._version}"
            )
            return change_answer.ChangeAnswer(
                change_verdict.ChangeVerdict.INVALID, None, detail
            )
        conflicting = self._record_of(
            requested.base_version + 1
        ) or self._record_of(self._version)
        assert conflicting is not None, "the newest record is always kept"
        detail = (
            f"built on version {requested.base_version}; "
            f"version {conflicting.version} by {conflicting.author} "
            f"came first; the last is {self._version}"
        )
        return change_answer.ChangeAnswer(
            change_verdict.ChangeVerdict.CONFLICT, conflicting, detail
        )

    def _answer_resend(
        self, stored: stored_answer.StoredAnswer, digest: str
    ) -> change_answer.ChangeAnswer:
        answer = stored.answer
        if answer.record is not None:
            record = self._record_of(answer.record.version)
            answer = answer._replace(record=record or answer.record)
        if stored.digest == digest:
            return answer
        return change_answer.ChangeAnswer(
            change_verdict.ChangeVerdict.INVALID,
            answer.record,
            "this change id was used for another change",
        )


def _compute_digest(requested: change.Change) -> str:
    joined = "\0".join(str(value) for value in requested)
    return hashlib.sha256(joined.encode()).hexdigest()


def _without_difference(
    answer: change_answer.ChangeAnswer,
) -> change_answer.ChangeAnswer:
    """Drops the diff, which the history record of the version holds."""
    if answer.record is None:
        return answer
    return answer._replace(record=answer.record._replace(difference=""))


def _record_size(version: int, record: change_record.ChangeRecord) -> int:
    del version
    return len(record.change_id) + len(record.author)


def _text_size(version: int, text: str) -> int:
    del version
    return len(text)
