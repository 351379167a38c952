"""The first answer to a change id, as the configuration ledger keeps it."""

from typing import NamedTuple

from cranberrymux.decisions.configuration import change_answer


class StoredAnswer(NamedTuple):
    """The first answer to a change id.

    Attributes:
        digest: Digest of the change, which tells a resend from a different
            change with the same id.
        answer: The answer, without the diff of its record.
    """

    digest: str
    answer: change_answer.ChangeAnswer


def size(change_id: str, stored: StoredAnswer) -> int:
    """Returns the characters of the texts of an answer and its change id."""
    answer = stored.answer
    characters = len(change_id) + len(stored.digest) + len(answer.detail)
    if answer.record is not None:
        characters += len(answer.record.change_id) + len(answer.record.author)
    return characters
