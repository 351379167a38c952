"""The replicated state machine of configuration changes."""

import hashlib
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.configuration import change
from cranberrymux.decisions.configuration import change_answer
from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.configuration import difference

RECORDS_KEPT = 1000
DOCUMENTS_KEPT = 100
# Of all kept documents but the last. They are part of each snapshot, whose
# encoding delays heartbeats.
MAXIMUM_KEPT_CHARACTERS = 1 << 22
ANSWERS_KEPT = 40_000


class _StoredAnswer(NamedTuple):
    """The first answer to a change id.

    Attributes:
        digest: Digest of the change, which tells a resend from a different
            change with the same id.
        answer: The answer, without the diff of its record.
    """

    digest: str
    answer: change_answer.ChangeAnswer


class ConfigurationLedger:
    """Accepted versions of the document and the answers to changes.

    Every replica applies the same changes in the same order and reaches the
    same state. Keeps the last `RECORDS_KEPT` history records, the last
    `DOCUMENTS_KEPT` documents, fewer if they are large, and the answers to the
    last `ANSWERS_KEPT` change ids.
    """

    def __init__(self) -> None:
        """Creates a ledger at version 0 with an empty document."""
        self._version = 0
        self._records: dict[int, change_record.ChangeRecord] = {}
        self._documents: dict[int, str] = {0: ""}
        self._answers: dict[str, _StoredAnswer] = {}

    @property
    def version(self) -> int:
        """Number of the last accepted version; 0 if there is none."""
        return self._version

    @property
    def document(self) -> str:
        """The YAML text of the last accepted version."""
        return self._documents[self._version]

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
        """Returns the last accepted changes, newest first."""
        newest_first = sorted(self._records, reverse=True)
        return [self._records[version] for version in newest_first[:limit]]

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
        self._answers[requested.change_id] = _StoredAnswer(
            digest, _without_difference(answer)
        )
        while len(self._answers) > ANSWERS_KEPT:
            del self._answers[next(iter(self._answers))]
        return answer

    def dump(self) -> dict[str, Any]:
        """Returns the whole state as JSON-serializable values."""
        return {
            "version": self._version,
            "records": [list(record) for record in self._records.values()],
            "documents": [list(item) for item in self._documents.items()],
            "answers": [
                [change_id, stored.digest, *_dump_answer(stored.answer)]
                for change_id, stored in self._answers.items()
            ],
        }

    def restore(self, state: dict[str, Any]) -> None:
        """Replaces the whole state by one that `dump` returned."""
        self._version = state["version"]
        records = [
            change_record.ChangeRecord(*values) for values in state["records"]
        ]
        self._records = {record.version: record for record in records}
        self._documents = dict(state["documents"])
        self._answers = {
            change_id: _StoredAnswer(digest, _load_answer(*answer))
            for change_id, digest, *answer in state["answers"]
        }

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
        self._records[version] = record
        self._documents[version] = requested.document
        self._records.pop(version - RECORDS_KEPT, None)
        self._documents.pop(version - DOCUMENTS_KEPT, None)
        self._version = version
        self._remove_large_documents()
        return change_answer.ChangeAnswer(
            change_verdict.ChangeVerdict.ACCEPTED, record, ""
        )

    def _remove_large_documents(self) -> None:
        size = sum(map(len, self._documents.values())) - len(self.document)
        while size > MAXIMUM_KEPT_CHARACTERS:
            oldest = next(iter(self._documents))
            size -= len(self._documents.pop(oldest))

    def _reject(self, requested: change.Change) -> change_answer.ChangeAnswer:
        if requested.base_version > self._version:
            detail = (
                f"built on version {requested.base_version}, "
                f"which is not there: the last is {self._version}"
            )
            return change_answer.ChangeAnswer(
                change_verdict.ChangeVerdict.INVALID, None, detail
            )
        successor = self._records.get(requested.base_version + 1)
        conflicting = successor or self._records[self._version]
        detail = (
            f"built on version {requested.base_version}; "
            f"version {conflicting.version} by {conflicting.author} "
            f"came first; the last is {self._version}"
        )
        return change_answer.ChangeAnswer(
            change_verdict.ChangeVerdict.CONFLICT, conflicting, detail
        )

    def _answer_resend(
        self, stored: _StoredAnswer, digest: str
    ) -> change_answer.ChangeAnswer:
        answer = stored.answer
        if answer.record is not None:
            record = self._records.get(answer.record.version, answer.record)
            answer = answer._replace(record=record)
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


def _dump_answer(answer: change_answer.ChangeAnswer) -> list[Any]:
    record = None if answer.record is None else list(answer.record)
    return [answer.verdict.value, record, answer.detail]


def _load_answer(
    verdict: str, record: list[Any] | None, detail: str
) -> change_answer.ChangeAnswer:
    return change_answer.ChangeAnswer(
        change_verdict.ChangeVerdict(verdict),
        None if record is None else change_record.ChangeRecord(*record),
        detail,
    )
