"""An append-only file that is begun anew at a size."""

import os
import pathlib

from cranberrymux.telemetry import outcomes_settings


class RotatingFile:
    """Appends whole lines; older files are `NAME.1` and so on."""

    def __init__(self, settings: outcomes_settings.OutcomesSettings) -> None:
        """Opens nothing yet.

        Args:
            settings: Path, size and number of files.
        """
        self._path = pathlib.Path(settings.outcomes_file)
        self._settings = settings
        self._descriptor = -1

    def append(self, lines: bytes) -> None:
        """Writes lines; begins a new file if this one has its full size.

        Args:
            lines: Whole lines, each with its line feed.

        Raises:
            OSError: The disk failed; the next call opens the file anew.
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
        """Closes the file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _open(self) -> None:
        if self._descriptor >= 0:
            return
        self._path.parent.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._descriptor = os.open(self._path, flags, 0o640)
        self._end_torn_line()

    def _end_torn_line(self) -> None:
        size = os.fstat(self._descriptor).st_size
        if size and os.pread(self._descriptor, 1, size - 1) != b"\n":
            _write_all(self._descriptor, b"\n")

    def _rotate(self) -> None:
        oldest = self._settings.outcomes_files - 1
        if oldest == 0:
            self._path.unlink()
            return
        for number in range(oldest, 0, -1):
            newer = self._numbered(number - 1)
            if newer.exists():
                newer.replace(self._numbered(number))

    def _numbered(self, number: int) -> pathlib.Path:
        if number == 0:
            return self._path
        return self._path.with_name(f"{self._path.name}.{number}")


def _write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]
