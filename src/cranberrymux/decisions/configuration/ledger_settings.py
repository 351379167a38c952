"""Limits of what the configuration ledger keeps."""

from typing import NamedTuple


class LedgerSettings(NamedTuple):
    """Numbers and sizes of what is kept of accepted versions and answers.

    All replicas must use the same values, or their states differ. Sizes are
    counted in characters, since texts are kept as such; most are ASCII. The
    newest item of each kind stays whatever its size, and is not counted.

    Attributes:
        records: Most history records.
        record_characters: Most characters of the names in them.
        difference_characters: Most characters of the differences of all
            records; older records lose theirs.
        documents: Most documents.
        document_characters: Most characters of all documents.
        answers: Most answers to change ids.
        answer_characters: Most characters of all answers.
    """

    records: int = 1000
    record_characters: int = 1 << 18
    difference_characters: int = 1 << 20
    documents: int = 100
    document_characters: int = 1 << 21
    answers: int = 40_000
    answer_characters: int = 1 << 23


DEFAULTS = LedgerSettings()
