"""The state machine of configuration changes."""

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
ANSWERS_KEPT = 40_000


class _Answered(NamedTuple):
    digest: str
    answer: change_answer.ChangeAnswer


class ConfigurationLedger:
    """Versions of the document, in order.

    Every replica applies the same changes in the same order and comes to the
    same state. `RECORDS_KEPT` lines of history, `DOCUMENTS_KEPT` documents
    and the answers to the last `ANSWERS_KEPT` change ids are kept.
    """

    def __init__(self) -> None:
        """Starts at version 0 with an empty document."""
        self._version = 0
        self._records: dict[int, change_record.ChangeRecord] = {}
        self._documents: dict[int, str] = {0: ""}
        self._answers: dict[str, _Answered] = {}

    @property
    def version(self) -> int:
        """The last accepted version."""
        return self._version

    @property
    def document(self) -> str:
        """The YAML text of the last accepted version."""
        return self._documents[self._version]

    def document_of(self, version: int) -> str | None:
        """Returns the text of a version; None if it is not kept."""
        return self._documents.get(version)

    def answer_of(self, change_id: str) -> change_answer.ChangeAnswer | None:
        """Returns the answer that a change got; None if it is not known."""
        known = self._answers.get(change_id)
        return None if known is None else known.answer

    def history(self, limit: int = 50) -> list[change_record.ChangeRecord]:
        """Returns the last accepted changes, newest first."""
        newest_first = sorted(self._records, reverse=True)
        return [self._records[version] for version in newest_first[:limit]]

    def apply(
        self, asked: change.Change, at_ms: int
    ) -> change_answer.ChangeAnswer:
        """Applies a committed change.

        Args:
            asked: The change; its document was checked before.
            at_ms: When the leader took it, Unix milliseconds.

        Returns:
            The answer; a resend of a change id gets the first answer.
        """
        digest = _compute_digest(asked)
        known = self._answers.get(asked.change_id)
        if known is not None:
            return self._repeat(known, digest)
        if asked.base_version == self._version:
            answer = self._accept(asked, at_ms)
        else:
            answer = self._refuse(asked)
        self._answers[asked.change_id] = _Answered(digest, _shorten(answer))
        while len(self._answers) > ANSWERS_KEPT:
            del self._answers[next(iter(self._answers))]
        return answer

    def dump(self) -> dict[str, Any]:
        """Returns the whole state as values that JSON can hold."""
        return {
            "version": self._version,
            "records": [list(one) for one in self._records.values()],
            "documents": [list(one) for one in self._documents.items()],
            "answers": [
                [change_id, known.digest, *_dump_answer(known.answer)]
                for change_id, known in self._answers.items()
            ],
        }

    def restore(self, state: dict[str, Any]) -> None:
        """Takes over a state that `dump` gave."""
        self._version = state["version"]
        records = [change_record.ChangeRecord(*one) for one in state["records"]]
        self._records = {one.version: one for one in records}
        self._documents = dict(state["documents"])
        self._answers = {
            change_id: _Answered(digest, _load_answer(*answer))
            for change_id, digest, *answer in state["answers"]
        }

    def _accept(
        self, asked: change.Change, at_ms: int
    ) -> change_answer.ChangeAnswer:
        version = self._version + 1
        text = difference.compute(
            self.document,
            asked.document,
            f"version {self._version}",
            f"version {version}",
        )
        record = change_record.ChangeRecord(
            version,
            asked.base_version,
            asked.change_id,
            asked.author,
            at_ms,
            text,
            asked.rollback_of,
        )
        self._records[version] = record
        self._documents[version] = asked.document
        self._records.pop(version - RECORDS_KEPT, None)
        self._documents.pop(version - DOCUMENTS_KEPT, None)
        self._version = version
        return change_answer.ChangeAnswer(
            change_verdict.ChangeVerdict.ACCEPTED, record, ""
        )

    def _refuse(self, asked: change.Change) -> change_answer.ChangeAnswer:
        if asked.base_version > self._version:
            detail = (
                f"built on version {asked.base_version}, which is not there: "
                f"the last is {self._version}"
            )
            return change_answer.ChangeAnswer(
                change_verdict.ChangeVerdict.INVALID, None, detail
            )
        winner = self._records.get(asked.base_version + 1)
        shown = winner or self._records[self._version]
        detail = (
            f"built on version {asked.base_version}; version {shown.version} "
            f"by {shown.author} came first; the last is {self._version}"
        )
        return change_answer.ChangeAnswer(
            change_verdict.ChangeVerdict.CONFLICT, shown, detail
        )

    def _repeat(
        self, known: _Answered, digest: str
    ) -> change_answer.ChangeAnswer:
        answer = known.answer
        if answer.record is not None:
            record = self._records.get(answer.record.version, answer.record)
            answer = answer._replace(record=record)
        if known.digest == digest:
            return answer
        return change_answer.ChangeAnswer(
            change_verdict.ChangeVerdict.INVALID,
            answer.record,
            "this change id was used for another change",
        )


def _compute_digest(asked: change.Change) -> str:
    whole = "\0".join(str(one) for one in asked)
    return hashlib.sha256(whole.encode()).hexdigest()


def _shorten(
    answer: change_answer.ChangeAnswer,
) -> change_answer.ChangeAnswer:
    """Drops the difference, which the record of the version holds."""
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
