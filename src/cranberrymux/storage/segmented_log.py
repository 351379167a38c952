"""The log's segments: appended to, cut at the end, dropped at the start."""

from collections.abc import Sequence
import re
from typing import NamedTuple

from cranberrymux.consensus import entry as entry_module
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import segment

_NAME = re.compile(r"log-(\d{20})\.seg")


class _Open(NamedTuple):
    first_index: int
    # Offset of each entry's record, and then the segment's size.
    offsets: list[int]

    @property
    def size_bytes(self) -> int:
        return self.offsets[-1]

    @property
    def next_index(self) -> int:
        return self.first_index + len(self.offsets) - 1


class SegmentedLog:
    """Writes entries to segments; every method may raise `OSError`."""

    def __init__(
        self, files: file_system.FileSystem, folder: str, segment_bytes: int
    ) -> None:
        """Knows no segments before `adopt`."""
        self._files = files
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._segments: list[_Open] = []
        self._file: file_system.File | None = None
        self._durable_bytes = 0
        self._is_dirty = False

    def adopt(self, contents: Sequence[segment.SegmentContent]) -> None:
        """Takes over segments as read, and cuts a torn tail off."""
        self._segments = [
            _Open(
                one.first_index,
                [found.start for found in one.records] + [one.valid_bytes],
            )
            for one in contents
            if one.valid_bytes
        ]
        for one in contents:
            if not one.valid_bytes:
                self._files.remove(one.path)
                self._files.sync_folder(self._folder)
        if not self._segments:
            return
        self._open_last()
        if contents[-1].torn_bytes and contents[-1].valid_bytes:
            self._cut(self._segments[-1].size_bytes)
        # What was read may have been written and never synced.
        self._sync_file()

    def append(self, entries: Sequence[entry_module.Entry]) -> None:
        """Writes entries without syncing them."""
        start = 0
        while start < len(entries):
            if self._file is None or self._is_full():
                self._start_segment(entries[start].log_index)
            start += self._append_some(entries[start:])

    def sync(self) -> None:
        """Makes every entry written so far durable."""
        if self._is_dirty:
            self._sync_file()

    def truncate(self, from_index: int) -> None:
        """Drops the entry at an index and all after it, durably."""
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
        self._cut(last.size_bytes)

    def drop_below(self, first_index: int) -> None:
        """Drops whole segments whose entries all are below an index."""
        self.sync()
        while (
            len(self._segments) > 1
            and self._segments[0].next_index <= first_index
        ):
            self._remove(0)

    def reset(self) -> None:
        """Drops all entries, the newest first."""
        while self._segments:
            self._remove(len(self._segments) - 1)

    def close(self) -> None:
        """Closes the open segment without syncing."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _is_full(self) -> bool:
        return self._segments[-1].size_bytes >= self._segment_bytes

    def _append_some(self, entries: Sequence[entry_module.Entry]) -> int:
        last = self._segments[-1]
        assert self._file is not None
        self._is_dirty = True
        chosen: list[bytes] = []
        for data in segment.encode(entries, self._durable_bytes):
            chosen.append(data)
            last.offsets.append(last.size_bytes + len(data))
            if self._is_full():
                break
        self._file.write(b"".join(chosen))
        return len(chosen)

    def _start_segment(self, first_index: int) -> None:
        # Only the last segment may hold what is not synced.
        self.sync()
        self.close()
        path = f"{self._folder}/{segment.name_of(first_index)}"
        self._file = self._files.open_append(path)
        self._file.truncate(0)
        self._file.write(segment.header(first_index))
        self._segments.append(_Open(first_index, [segment.HEADER_BYTES]))
        self._durable_bytes = 0
        self._is_dirty = True
        self._files.sync_folder(self._folder)

    def _open_last(self) -> None:
        last = self._segments[-1]
        path = f"{self._folder}/{segment.name_of(last.first_index)}"
        self._file = self._files.open_append(path)
        self._durable_bytes = 0
        self._is_dirty = True

    def _cut(self, size_bytes: int) -> None:
        assert self._file is not None
        self._file.truncate(size_bytes)
        self._sync_file()

    def _sync_file(self) -> None:
        assert self._file is not None
        self._file.sync()
        self._is_dirty = False
        self._durable_bytes = self._segments[-1].size_bytes

    def _remove(self, place: int) -> None:
        if place == len(self._segments) - 1:
            self.close()
            self._is_dirty = False
        removed = self._segments.pop(place)
        name = segment.name_of(removed.first_index)
        self._files.remove(f"{self._folder}/{name}")
        self._files.sync_folder(self._folder)


def read(
    files: file_system.FileSystem, folder: str
) -> tuple[segment.SegmentContent, ...] | failure.StorageError:
    """Reads all segments, which must follow one another without gaps."""
    try:
        found = sorted(filter(_NAME.fullmatch, files.names(folder)))
    except OSError as error:
        return failure.of_read(folder, error)
    contents: list[segment.SegmentContent] = []
    for place, name in enumerate(found):
        first_index = int(name[4:24])
        is_last = place == len(found) - 1
        path = f"{folder}/{name}"
        content = segment.read(files, path, first_index, is_last)
        if isinstance(content, failure.StorageError):
            return content
        if contents and first_index != _next_index(contents[-1]):
            return failure.StorageError(
                failure.StorageFailure.CORRUPT,
                path,
                f"the segment before ends at {_next_index(contents[-1]) - 1}",
            )
        contents.append(content)
    return tuple(contents)


def _next_index(content: segment.SegmentContent) -> int:
    return content.first_index + len(content.records)
