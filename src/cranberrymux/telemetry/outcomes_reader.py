"""Reads outcome counts from the files of recorders."""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import re
from typing import BinaryIO

from cranberrymux.telemetry import outcome_codec
from cranberrymux.telemetry import outcome_count

MAXIMUM_LINE_BYTES = 4096

_FILE_NAME = re.compile(r".*\.jsonl(\.\d+)?")


class OutcomesReader:
    """Reads outcome counts from files and folders, in no order of time.

    Attributes:
        files_read: Number of files opened for reading so far.
        lines_read: Number of valid lines so far.
        lines_skipped: Number of lines so far that were truncated, too long or
            not valid counts.
    """

    def __init__(self, paths: tuple[str, ...]) -> None:
        """Stores the paths; `read` opens the files.

        Args:
            paths: Files and folders. A file is read with its rotated files, a
                folder with all its `.jsonl` files and their rotated files.
        """
        self._paths = paths
        self.files_read = 0
        self.lines_read = 0
        self.lines_skipped = 0

    def read(self) -> Iterator[outcome_count.OutcomeCount]:
        """Yields every valid count.

        Raises:
            OSError: A folder or file cannot be read.
        """
        for path in self._paths:
            with contextlib.ExitStack() as stack:
                for file in _open_files(pathlib.Path(path), stack):
                    self.files_read += 1
                    yield from self._read_file(file)

    def _read_file(
        self, file: BinaryIO
    ) -> Iterator[outcome_count.OutcomeCount]:
        is_continuation = False
        while line := file.readline(MAXIMUM_LINE_BYTES):
            is_complete = line.endswith(b"\n")
            count = None
            if is_complete and not is_continuation:
                count = outcome_codec.decode(line)
            if count is not None:
                self.lines_read += 1
                yield count
            elif not is_continuation:
                self.lines_skipped += 1
            is_continuation = not is_complete


def _open_files(
    path: pathlib.Path, stack: contextlib.ExitStack
) -> list[BinaryIO]:
    # The recorder may rename files during the read, so all are opened before
    # any is read, and a file found under two names is opened once only.
    files: dict[tuple[int, int], BinaryIO] = {}
    for file_path in _find_paths(path):
        try:
            file = stack.enter_context(file_path.open("rb"))
        except FileNotFoundError:
            continue
        status = os.fstat(file.fileno())
        files.setdefault((status.st_dev, status.st_ino), file)
    return list(files.values())


def _find_paths(path: pathlib.Path) -> list[pathlib.Path]:
    if path.is_dir():
        names = _FILE_NAME
        folder = path
    else:
        names = re.compile(re.escape(path.name) + r"(\.\d+)?")
        folder = path.parent
    return sorted(
        file_path
        for file_path in folder.iterdir()
        if names.fullmatch(file_path.name)
    )
