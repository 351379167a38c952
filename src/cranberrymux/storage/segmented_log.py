"""A log in segment files, appended at its end and dropped from its start."""

from collections.abc import Sequence
import re
from typing import NamedTuple

from cranberrymux.consensus import entry as entry_module
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import segment

_SEGMENT_NAME = re.compile(r"log-(\d{20})\.seg")


class _SegmentIndex(NamedTuple):
    first_index: int
    # Offset of each entry's record, followed by the segment's size.
    offsets: list[int]

    @property
    def size_bytes(self) -> int:
        return self.offsets[-1]

    @property
    def next_index(self) -> int:
        return self.first_index + len(self.offsets) - 1


class SegmentedLog:
    """Appends, truncates and drops entries on disk.

    Every method may raise `OSError`.
    """

    def __init__(
        self, files: file_system.FileSystem, folder: str, segment_bytes: int
    ) -> None:
        """Starts without segments; `adopt` passes the ones on disk.

        Args:
            files: File system that contains the folder.
            folder: Path of the data folder.
            segment_bytes: Size at which a new segment is started.
        """
        self._files = files
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments: list[_SegmentIndex] = []
        self._file: file_system.File | None = None
        # Size of the last segment as of its last sync, and what was appended
        # since.
        self._durable_bytes = 0
        self._unsynced: list[entry_module.Entry] = []
        self._is_dirty = False
        self._has_unsynced_removal = False

    def adopt(self, contents: Sequence[segment.SegmentContent]) -> None:
        """Takes over the segments on disk and truncates a torn tail."""
        self._segments = [
            _SegmentIndex(
                content.first_index,
                [record.start for record in content.records]
                + [content.valid_bytes],
            )
            for content in contents
            if content.valid_bytes
        ]
        for content in contents:
            if not content.valid_bytes:
                self._files.remove(content.path)
                self._files.sync_folder(self._folder)
        if not self._segments:
            return
        self._open_last()
        if contents[-1].torn_bytes and contents[-1].valid_bytes:
            self._truncate_file(self._segments[-1].size_bytes)
        # Whole records may have been written without being synced.
        self._sync_file()

    def append(self, entries: Sequence[entry_module.Entry]) -> None:
        """Writes entries without syncing them.

        Those that are there already, from an append that failed, are skipped.
        """
        position = 0
        if self._segments and entries:
            next_index = self._segments[-1].next_index
            position = max(next_index - entries[0].log_index, 0)
        while position < len(entries):
            if self._file is None or self._is_full():
                self._start_segment(entries[position].log_index)
            position += self._append_until_full(entries[position:])

    def sync(self) -> None:
        """Makes every entry that was appended so far durable."""
        if self._is_dirty:
            self._sync_file()

    def recover(self) -> None:
        """Makes the log appendable again after a call that failed.

        What was appended since the last sync is written anew: after a failed
        write or sync it may be torn, and a later sync does not tell.
        """
        self.close()
        if self._has_unsynced_removal:
            self._sync_removal()
        if not self._segments:
            return
        entries = self._unsynced
        try:
            self._drop_unsynced()
            self.append(entries)
        except OSError:
            self._unsynced = entries
            raise

    def truncate(self, from_index: int) -> None:
        """Durably drops the entry at an index and all after it."""
        self.sync()
        while self._segments and self._segments[-1].first_index >= from_index:
            self._remove(len(self._segments) - 1)
        if not self._segments:
            return
        last = self._segments[-1]
        if last.next_index > from_index:
            del last.offsets[from_index - last.first_index + 1 :]
        if self._file is None:
            self._open_last()
        self._truncate_file(last.size_bytes)

    def drop_below(self, first_index: int) -> None:
        """Removes the segments whose entries are all below an index.

        The last segment stays even then.
        """
        self.sync()
        while (
            len(self._segments) > 1
            and self._segments[0].next_index <= first_index
        ):
            self._remove(0)

    def reset(self) -> None:
        """Removes all segments, the newest first."""
        while self._segments:
            self._remove(len(self._segments) - 1)

    def close(self) -> None:
        """Closes the open segment without syncing."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _is_full(self) -> bool:
        return self._segments[-1].size_bytes >= self._segment_bytes

    def _append_until_full(self, entries: Sequence[entry_module.Entry]) -> int:
        last = self._segments[-1]
        assert self._file is not None
        self._is_dirty = True
        records: list[bytes] = []
        for record in segment.encode(entries, self._durable_bytes):
            records.append(record)
            last.offsets.append(last.size_bytes + len(record))
            if self._is_full():
                break
        self._unsynced.extend(entries[: len(records)])
        self._file.write(b"".join(records))
        return len(records)

    def _start_segment(self, first_index: int) -> None:
        # Only the last segment may contain entries that are not synced.
        self.sync()
        self.close()
        path = f"{self._folder}/{segment.file_name(first_index)}"
        file = self._files.open_append(path)
        try:
            file.truncate(0)
            file.write(segment.encode_header(first_index))
            file.sync()
            self._files.sync_folder(self._folder)
        except OSError:
            file.close()
            raise
        self._file = file
        self._segments.append(
            _SegmentIndex(first_index, [segment.HEADER_BYTES])
        )
        self._durable_bytes = segment.HEADER_BYTES

    def _open_last(self) -> None:
        last = self._segments[-1]
        path = f"{self._folder}/{segment.file_name(last.first_index)}"
        self._file = self._files.open_append(path)

    def _drop_unsynced(self) -> None:
        last = self._segments[-1]
        while last.size_bytes > self._durable_bytes:
            del last.offsets[-1]
        self._open_last()
        self._truncate_file(last.size_bytes)

    def _truncate_file(self, size_bytes: int) -> None:
        assert self._file is not None
        self._file.truncate(size_bytes)
        self._sync_file()

    def _sync_file(self) -> None:
        assert self._file is not None
        self._file.sync()
        self._is_dirty = False
        self._unsynced = []
        self._durable_bytes = self._segments[-1].size_bytes

    def _remove(self, position: int) -> None:
        is_last = position == len(self._segments) - 1
        if is_last:
            self.close()
        removed = self._segments[position]
        name = segment.file_name(removed.first_index)
        self._files.remove(f"{self._folder}/{name}")
        self._segments.pop(position)
        self._has_unsynced_removal = True
        if is_last:
            self._is_dirty = False
            self._unsynced = []
            if self._segments:
                self._durable_bytes = self._segments[-1].size_bytes
        self._sync_removal()

    def _sync_removal(self) -> None:
        self._files.sync_folder(self._folder)
        self._has_unsynced_removal = False


def read(
    files: file_system.FileSystem, folder: str
) -> tuple[segment.SegmentContent, ...] | failure.StorageError:
    """Reads and verifies all segments of a data folder.

    Returns:
        The segments in order, or an error if one is damaged or missing.
    """
    try:
        names = sorted(filter(_SEGMENT_NAME.fullmatch, files.names(folder)))
    except OSError as error:
        return failure.from_read_error(folder, error)
    contents: list[segment.SegmentContent] = []
    for position, name in enumerate(names):
        first_index = int(name[4:24])
        is_last = position == len(names) - 1
        path = f"{folder}/{name}"
        content = segment.read(files, path, first_index, is_last)
        if isinstance(content, failure.StorageError):
            return content
        if contents and first_index != _next_index(contents[-1]):
            return failure.StorageError(
                failure.StorageFailure.CORRUPT,
                path,
                "the segment before it ends at index"
                f" {_next_index(contents[-1]) - 1}",
            )
        contents.append(content)
    return tuple(contents)


def _next_index(content: segment.SegmentContent) -> int:
    return content.first_index + len(content.records)
