"""Settings of the files that outcomes are recorded in."""

from typing import NamedTuple

from cranberrymux.settings import field

_Kind = field.Kind

DEFAULT_FILE_BYTES = 16 * 1024 * 1024
DEFAULT_FILE_COUNT = 8

FIELDS = (
    field.Field("outcomes_file", _Kind.TEXT, default=""),
    field.Field(
        "outcomes_file_bytes",
        _Kind.INTEGER,
        default=DEFAULT_FILE_BYTES,
        minimum=1024,
    ),
    field.Field(
        "outcomes_files", _Kind.INTEGER, default=DEFAULT_FILE_COUNT, minimum=1
    ),
)


class OutcomesSettings(NamedTuple):
    """File, size and number; programs include `FIELDS` in their settings.

    Attributes:
        outcomes_file: Path of the current file; empty to record nothing. The
            report finds it by its folder if the name ends in `.jsonl`.
        outcomes_file_bytes: Size above which a new file is started.
        outcomes_files: Number of files kept, the current one included.
    """

    outcomes_file: str
    outcomes_file_bytes: int = DEFAULT_FILE_BYTES
    outcomes_files: int = DEFAULT_FILE_COUNT
