"""Reads recorded outcomes."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import re
from typing import BinaryIO

from cranberrymux.telemetry import outcome_codec
from cranberrymux.telemetry import outcome_count

LINE_BYTES_MAX = 4096

_NAME = re.compile(r".*\.jsonl(\.\d+)?")


class OutcomesReader:
    """Reads recorded outcomes, in no order of time.

    Attributes:
        files_read: Files read so far.
        lines_read: Lines understood so far.
        lines_skipped: Lines torn, too long or of another kind so far.
    """

    def __init__(self, paths: tuple[str, ...]) -> None:
        """Opens nothing yet.

        Args:
            paths: Files of recorders, each read with its older ones, and
                folders, of which every `.jsonl` file is read.
        """
        self._paths = paths
        self.files_read = 0
        self.lines_read = 0
        self.lines_skipped = 0

    def read(self) -> Iterator[outcome_count.OutcomeCount]:
        """Gives each count that was recorded.

        Raises:
            OSError: A folder or file cannot be read.
        """
        for path in self._paths:
            with contextlib.ExitStack() as stack:
                for file in _open_all(pathlib.Path(path), stack):
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
    path: pathlib.Path, stack: contextlib.ExitStack
) -> list[BinaryIO]:
    # All files are opened before any is read, and each once only, since the
    # recorder may rename them meanwhile.
    files: dict[tuple[int, int], BinaryIO] = {}
    for found in _find(path):
        try:
            file = stack.enter_context(found.open("rb"))
        except FileNotFoundError:
            continue
        status = os.fstat(file.fileno())
        files.setdefault((status.st_dev, status.st_ino), file)
    return list(files.values())


def _find(path: pathlib.Path) -> list[pathlib.Path]:
    if path.is_dir():
        names = _NAME
        folder = path
    else:
        names = re.compile(re.escape(path.name) + r"(\.\d+)?")
        folder = path.parent
    return sorted(
        found for found in folder.iterdir() if names.fullmatch(found.name)
    )
