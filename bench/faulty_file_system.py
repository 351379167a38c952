"""In-memory file system with power cuts, torn writes and I/O errors."""

from collections.abc import Callable
import random

_BLOCK_BYTES = 16


class PowerCutError(Exception):
    """The simulated power went out during a file operation."""


class _Content:
    def __init__(self) -> None:
        self.durable = b""
        self.current = bytearray()
        # Unsynced changes in order: appended bytes, or a size to truncate to.
        self.pending: list[bytes | int] = []


class _File:
    def __init__(self, files: "FaultyFileSystem", content: _Content) -> None:
        self._file_system = files
        self._content = content

    def write(self, data: bytes) -> None:
        self._content.pending.append(data)
        self._content.current += data
        self._file_system.begin_operation("write")

    def sync(self) -> None:
        self._file_system.begin_operation("sync")
        self._content.durable = bytes(self._content.current)
        self._content.pending.clear()

    def truncate(self, size_bytes: int) -> None:
        self._file_system.begin_operation("truncate")
        self._content.pending.append(size_bytes)
        del self._content.current[size_bytes:]

    def close(self) -> None:
        pass


class _Lock:
    def __init__(self, files: "FaultyFileSystem", path: str) -> None:
        self._file_system = files
        self._path = path

    def release(self) -> None:
        self._file_system.locked.discard(self._path)


class FaultyFileSystem:
    """Tracks written content apart from what survives a power cut.

    Implements `file_system.FileSystem`.

    Attributes:
        generator: Draws which unsynced changes survive a power cut.
        operation_count: Number of modifying operations so far.
        power_cut_at: Number of the operation at which the power goes out; None
            for never.
        injected_errors: Error to raise, by name of the operation.
        locked: Paths that are locked now.
    """

    def __init__(self, generator: random.Random) -> None:
        """Starts without files."""
        self.generator = generator
        self.operation_count = 0
        self.power_cut_at: int | None = None
        self.injected_errors: dict[str, OSError] = {}
        self.locked: set[str] = set()
        self._contents: dict[str, _Content] = {}
        self._durable_contents: dict[str, _Content] = {}
        self._unsynced_name_changes: list[
            Callable[[dict[str, _Content]], object]
        ] = []

    def begin_operation(self, name: str) -> None:
        """Counts a modifying operation and raises its injected failure.

        Args:
            name: Name of the operation.
        """
        self.operation_count += 1
        if (
            self.power_cut_at is not None
            and self.operation_count >= self.power_cut_at
        ):
            raise PowerCutError(name)
        if name in self.injected_errors:
            raise self.injected_errors[name]

    def crash(self) -> None:
        """Cuts the power; a random part of the unsynced changes survives."""
        kept = self.generator.randint(0, len(self._unsynced_name_changes))
        for change in self._unsynced_name_changes[:kept]:
            change(self._durable_contents)
        self._unsynced_name_changes.clear()
        self._contents = dict(self._durable_contents)
        for content in self._contents.values():
            self._tear_content(content)
        self.locked.clear()
        self.power_cut_at = None

    def invert_byte(self, path: str, offset: int) -> None:
        """Inverts one durable byte of a file."""
        content = self._contents[path]
        content.current[offset] ^= 0xFF
        content.durable = bytes(content.current)

    def make_folder(self, path: str) -> None:
        """Does nothing: files need no folder here."""

    def names(self, path: str) -> list[str]:
        """Returns the names of the files in a folder."""
        self._raise_injected_error("names")
        return [
            x[len(path) + 1 :] for x in self._contents if x.startswith(path)
        ]

    def exists(self, path: str) -> bool:
        """Returns whether the file exists."""
        return path in self._contents

    def read(self, path: str) -> bytes:
        """Returns the whole content of a file, synced or not."""
        self._raise_injected_error("read")
        return bytes(self._contents[path].current)

    def open_append(self, path: str) -> _File:
        """Opens a file for appending; creates it if it does not exist."""
        self.begin_operation("open")
        if path not in self._contents:
            content = _Content()
            self._contents[path] = content
            self._unsynced_name_changes.append(
                lambda names: names.update({path: content})
            )
        return _File(self, self._contents[path])

    def replace(self, source: str, target: str) -> None:
        """Renames a file, replacing the target; durable after a folder sync."""
        self.begin_operation("replace")
        self._rename(self._contents, source, target)
        self._unsynced_name_changes.append(
            lambda names: self._rename(names, source, target)
        )

    def remove(self, path: str) -> None:
        """Removes a file; durable after a folder sync."""
        self.begin_operation("remove")
        del self._contents[path]
        self._unsynced_name_changes.append(lambda names: names.pop(path, None))

    def sync_folder(self, path: str) -> None:
        """Makes all creations, renames and removals durable."""
        self.begin_operation("sync_folder")
        self._durable_contents = dict(self._contents)
        self._unsynced_name_changes.clear()

    def lock(self, path: str) -> _Lock | None:
        """Locks a path; returns None if it is locked already."""
        if path in self.locked:
            return None
        self.locked.add(path)
        if path not in self._contents:
            self.open_append(path)
        return _Lock(self, path)

    def _raise_injected_error(self, name: str) -> None:
        if name in self.injected_errors:
            raise self.injected_errors[name]

    def _rename(
        self, names: dict[str, _Content], source: str, target: str
    ) -> None:
        names[target] = names.pop(source)

    def _tear_content(self, content: _Content) -> None:
        kept = self.generator.randint(0, len(content.pending))
        data = bytearray(content.durable)
        for position, change in enumerate(content.pending[: kept + 1]):
            is_kept_whole = position < kept
            if isinstance(change, int):
                if is_kept_whole:
                    del data[change:]
            else:
                data += change if is_kept_whole else self._torn_write(change)
        content.current = data
        content.durable = bytes(data)
        content.pending.clear()

    def _torn_write(self, written: bytes) -> bytes:
        part = bytearray(written[: self.generator.randint(0, len(written))])
        # Blocks reach the disk in any order; the missing ones read as zeros.
        if self.generator.random() < 0.5:
            for start in range(0, len(part), _BLOCK_BYTES):
                if self.generator.random() < 0.3:
                    end = min(start + _BLOCK_BYTES, len(part))
                    part[start:end] = bytes(end - start)
        return bytes(part)
