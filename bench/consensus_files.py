"""A file system in memory that loses, tears and fails as real ones do."""

from collections.abc import Callable
import random

_BLOCK_BYTES = 16


class PowerCutError(Exception):
    """The instance lost power in the middle of an operation."""


class _Content:
    def __init__(self) -> None:
        self.durable = b""
        self.current = bytearray()
        # Bytes to write, or a size to cut to, in order.
        self.pending: list[bytes | int] = []


class _File:
    def __init__(self, files: "FaultyFileSystem", content: _Content) -> None:
        self._files = files
        self._content = content

    def write(self, data: bytes) -> None:
        self._content.pending.append(data)
        self._content.current += data
        self._files.operate("write")

    def sync(self) -> None:
        self._files.operate("sync")
        self._content.durable = bytes(self._content.current)
        self._content.pending.clear()

    def truncate(self, size_bytes: int) -> None:
        self._files.operate("truncate")
        self._content.pending.append(size_bytes)
        del self._content.current[size_bytes:]

    def close(self) -> None:
        pass


class _Lock:
    def __init__(self, files: "FaultyFileSystem", path: str) -> None:
        self._files = files
        self._path = path

    def release(self) -> None:
        self._files.locked.discard(self._path)


class FaultyFileSystem:
    """Keeps apart what was written and what would survive a power cut.

    Attributes:
        generator: Draws what survives.
        operations: Operations so far that change something.
        cut_at: Count of operations at which the power goes; None for never.
        errors: Error to raise at an operation, by its name.
        locked: Paths locked now.
    """

    def __init__(self, generator: random.Random) -> None:
        """Starts empty."""
        self.generator = generator
        self.operations = 0
        self.cut_at: int | None = None
        self.errors: dict[str, OSError] = {}
        self.locked: set[str] = set()
        self._names: dict[str, _Content] = {}
        self._durable_names: dict[str, _Content] = {}
        self._pending: list[Callable[[dict[str, _Content]], object]] = []

    def operate(self, name: str) -> None:
        """Counts an operation; raises what is planned for it."""
        self.operations += 1
        if self.cut_at is not None and self.operations >= self.cut_at:
            raise PowerCutError(name)
        if name in self.errors:
            raise self.errors[name]

    def crash(self) -> None:
        """Cuts the power: a random part of what was not synced survives."""
        kept = self.generator.randint(0, len(self._pending))
        for change in self._pending[:kept]:
            change(self._durable_names)
        self._pending.clear()
        self._names = dict(self._durable_names)
        for content in self._names.values():
            self._tear(content)
        self.locked.clear()
        self.cut_at = None

    def damage(self, path: str, offset: int) -> None:
        """Flips bits of a durable byte."""
        content = self._names[path]
        content.current[offset] ^= 0xFF
        content.durable = bytes(content.current)

    def make_folder(self, path: str) -> None:
        """Does nothing; paths need no folders here."""

    def names(self, path: str) -> list[str]:
        """Names in a folder."""
        self._maybe_fail("names")
        return [x[len(path) + 1 :] for x in self._names if x.startswith(path)]

    def exists(self, path: str) -> bool:
        """True if the file exists."""
        return path in self._names

    def read(self, path: str) -> bytes:
        """Reads a whole file."""
        self._maybe_fail("read")
        return bytes(self._names[path].current)

    def open_append(self, path: str) -> _File:
        """Opens or makes a file."""
        self.operate("open")
        if path not in self._names:
            content = _Content()
            self._names[path] = content
            self._pending.append(lambda names: names.update({path: content}))
        return _File(self, self._names[path])

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another."""
        self.operate("replace")
        self._rename(self._names, source, target)
        self._pending.append(lambda names: self._rename(names, source, target))

    def remove(self, path: str) -> None:
        """Removes a file."""
        self.operate("remove")
        del self._names[path]
        self._pending.append(lambda names: names.pop(path, None))

    def sync_folder(self, path: str) -> None:
        """Makes names durable."""
        self.operate("sync_folder")
        self._durable_names = dict(self._names)
        self._pending.clear()

    def lock(self, path: str) -> _Lock | None:
        """Locks a path."""
        if path in self.locked:
            return None
        self.locked.add(path)
        if path not in self._names:
            self.open_append(path)
        return _Lock(self, path)

    def _maybe_fail(self, name: str) -> None:
        if name in self.errors:
            raise self.errors[name]

    def _rename(
        self, names: dict[str, _Content], source: str, target: str
    ) -> None:
        names[target] = names.pop(source)

    def _tear(self, content: _Content) -> None:
        kept = self.generator.randint(0, len(content.pending))
        data = bytearray(content.durable)
        for place, change in enumerate(content.pending[: kept + 1]):
            whole = place < kept
            if isinstance(change, int):
                if whole:
                    del data[change:]
            else:
                data += change if whole else self._torn(change)
        content.current = data
        content.durable = bytes(data)
        content.pending.clear()

    def _torn(self, written: bytes) -> bytes:
        part = bytearray(written[: self.generator.randint(0, len(written))])
        # Blocks reach the disk in any order; those that did not are zero.
        if self.generator.random() < 0.5:
            for start in range(0, len(part), _BLOCK_BYTES):
                if self.generator.random() < 0.3:
                    end = min(start + _BLOCK_BYTES, len(part))
                    part[start:end] = bytes(end - start)
        return bytes(part)
