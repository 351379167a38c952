"""Settings of recorded outcomes."""

from typing import NamedTuple

from cranberrymux.settings import field

_Kind = field.Kind

FIELDS = (
    field.Field("outcomes_folder", _Kind.TEXT, default=""),
    field.Field(
        "outcomes_file_bytes",
        _Kind.INTEGER,
        default=16 * 1024 * 1024,
        minimum=1024,
    ),
    field.Field("outcomes_files", _Kind.INTEGER, default=4, minimum=1),
)


class OutcomesSettings(NamedTuple):
    """Where outcomes are recorded; programs take `FIELDS` into theirs.

    Attributes:
        outcomes_folder: Folder of the files; empty for no recording.
        outcomes_file_bytes: Size at which a new file is begun.
        outcomes_files: Files kept, the one written to among them.
    """

    outcomes_folder: str
    outcomes_file_bytes: int
    outcomes_files: int
