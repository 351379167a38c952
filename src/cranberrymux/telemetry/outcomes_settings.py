"""Settings of recorded outcomes."""

from typing import NamedTuple

from cranberrymux.settings import field

_Kind = field.Kind

FILE_BYTES = 16 * 1024 * 1024
FILES = 4

FIELDS = (
    field.Field("outcomes_file", _Kind.TEXT, default=""),
    field.Field(
        "outcomes_file_bytes", _Kind.INTEGER, default=FILE_BYTES, minimum=1024
    ),
    field.Field("outcomes_files", _Kind.INTEGER, default=FILES, minimum=1),
)


class OutcomesSettings(NamedTuple):
    """Where outcomes are recorded; programs take `FIELDS` into theirs.

    Attributes:
        outcomes_file: The file written to; empty for no recording. A name
            that ends in `.jsonl` is found by the report in its folder.
        outcomes_file_bytes: Size at which a new file is begun.
        outcomes_files: Files kept, the one written to among them.
    """

    outcomes_file: str
    outcomes_file_bytes: int = FILE_BYTES
    outcomes_files: int = FILES
