"""Reads recorded outcomes."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import re
from typing import BinaryIO

from cranberrymux.telemetry import outcome_codec
from cranberrymux.telemetry import outcome_count
from cranberrymux.telemetry import rotating_file

LINE_BYTES_MAX = 4096

_NAME = re.compile(re.escape(rotating_file.NAME) + r"(\.\d+)?")


class OutcomesReader:
    """Reads every file of some folders, in no order of time.

    Attributes:
        files_read: Files read so far.
        lines_read: Lines understood so far.
        lines_skipped: Lines torn, too long or of another kind so far.
    """

    def __init__(self, folders: tuple[str, ...]) -> None:
        """Opens nothing yet.

        Args:
            folders: Folders of one recorder each.
        """
        self._folders = folders
        self.files_read = 0
        self.lines_read = 0
        self.lines_skipped = 0

    def read(self) -> Iterator[outcome_count.OutcomeCount]:
        """Gives each count that was recorded.

        Raises:
            OSError: A folder or file cannot be read.
        """
        for folder in self._folders:
            yield from self._read_folder(pathlib.Path(folder))

    def _read_folder(
        self, folder: pathlib.Path
    ) -> Iterator[outcome_count.OutcomeCount]:
        with contextlib.ExitStack() as stack:
            for file in _open_all(folder, stack):
                self.files_read += 1
                yield from self._read_file(file)

    def _read_file(
        self, file: BinaryIO
    ) -> Iterator[outcome_count.OutcomeCount]:
        is_rest = False
        while line := file.readline(LINE_BYTES_MAX):
            is_whole = line.endswith(b"\n")
            count = None
            if is_whole and not is_rest:
                count = outcome_codec.decode(line)
            if count is not None:
                self.lines_read += 1
                yield count
            elif not is_rest:
                self.lines_skipped += 1
            is_rest = not is_whole


def _open_all(
    folder: pathlib.Path, stack: contextlib.ExitStack
) -> list[BinaryIO]:
    # All files are opened before any is read, and each once only, since the
    # recorder may rename them meanwhile.
    files: dict[tuple[int, int], BinaryIO] = {}
    for path in sorted(folder.iterdir()):
        if not _NAME.fullmatch(path.name):
            continue
        try:
            file = stack.enter_context(path.open("rb"))
        except FileNotFoundError:
            continue
        status = os.fstat(file.fileno())
        files.setdefault((status.st_dev, status.st_ino), file)
    return list(files.values())
