"""An append-only file that is rotated at a maximum size."""

import os
import pathlib

from cranberrymux.telemetry import outcomes_settings


class RotatingFile:
    """Appends lines to a file; rotated files are `NAME.1`, `NAME.2`, etc."""

    def __init__(self, settings: outcomes_settings.OutcomesSettings) -> None:
        """Stores the settings; the first append opens the file.

        Args:
            settings: Path, maximum size and number of the files.
        """
        self._path = pathlib.Path(settings.outcomes_file)
        self._settings = settings
        self._descriptor = -1

    def append(self, lines: bytes) -> None:
        """Appends lines; rotates first if the file would become too large.

        Args:
            lines: Whole lines, each with its line feed.

        Raises:
            OSError: A file operation failed. The file is closed, and the next
                call opens it again.
        """
        try:
            self._open()
            size = os.fstat(self._descriptor).st_size
            if size and size + len(lines) > self._settings.outcomes_file_bytes:
                self.close()
                self._rotate()
                self._open()
            _write_all(self._descriptor, lines)
        except OSError:
            self.close()
            raise

    def close(self) -> None:
        """Closes the file; a later append opens it again."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _open(self) -> None:
        if self._descriptor >= 0:
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._descriptor = os.open(self._path, flags, 0o640)
        self._terminate_truncated_line()

    def _terminate_truncated_line(self) -> None:
        size = os.fstat(self._descriptor).st_size
        if size and os.pread(self._descriptor, 1, size - 1) != b"\n":
            _write_all(self._descriptor, b"\n")

    def _rotate(self) -> None:
        oldest = self._settings.outcomes_files - 1
        if oldest == 0:
            self._path.unlink()
            return
        for number in range(oldest, 0, -1):
            newer = self._get_path(number - 1)
            if newer.exists():
                newer.replace(self._get_path(number))

    def _get_path(self, number: int) -> pathlib.Path:
        if number == 0:
            return self._path
        return self._path.with_name(f"{self._path.name}.{number}")


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
