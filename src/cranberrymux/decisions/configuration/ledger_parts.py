"""Encodes the state of the configuration ledger in parts of bounded size."""

from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import TypeVar

from cranberrymux.decisions.configuration import change_answer
from cranberrymux.decisions.configuration import change_record
from cranberrymux.decisions.configuration import change_verdict
from cranberrymux.decisions.configuration import stored_answer

RECORDS_PER_PART = 5
ANSWERS_PER_PART = 500
_Item = TypeVar("_Item")


def dump(
    version: int,
    records: Sequence[change_record.ChangeRecord],
    documents: Sequence[tuple[int, str]],
    answers: Sequence[tuple[str, stored_answer.StoredAnswer]],
) -> Iterator[dict[str, Any]]:
    """Returns a ledger's state in parts of JSON-serializable values.

    Args:
        version: Number of the last accepted version.
        records: History records, oldest first.
        documents: Versions with their documents, oldest first.
        answers: Change ids with their answers, oldest first.
    """
    yield {"version": version}
    for some_records in _batches(records, RECORDS_PER_PART):
        yield {"records": [list(record) for record in some_records]}
    for item in documents:
        yield {"documents": [list(item)]}
    for some_answers in _batches(answers, ANSWERS_PER_PART):
        yield {
            "answers": [
                [change_id, stored.digest, *_dump_answer(stored.answer)]
                for change_id, stored in some_answers
            ]
        }


def _batches(
    items: Sequence[_Item], maximum_items: int
) -> Iterator[Sequence[_Item]]:
    for start in range(0, len(items), maximum_items):
        yield items[start : start + maximum_items]


def _dump_answer(answer: change_answer.ChangeAnswer) -> list[Any]:
    record = None if answer.record is None else list(answer.record)
    return [answer.verdict.value, record, answer.detail]


def load_answer(
    verdict: str, record: list[Any] | None, detail: str
) -> change_answer.ChangeAnswer:
    """Returns an answer from its values in a part after the digest."""
    return change_answer.ChangeAnswer(
        change_verdict.ChangeVerdict(verdict),
        None if record is None else change_record.ChangeRecord(*record),
        detail,
    )
