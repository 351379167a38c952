"""The operating system's implementation of `file_system`."""

import fcntl
import os
import pathlib


class LocalFile:
    """A file descriptor that is open for appending."""

    def __init__(self, path: str) -> None:
        """Opens the file; creates it if it is missing."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)

    def write(self, data: bytes) -> None:
        """Appends all bytes."""
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._descriptor, remaining) :]

    def sync(self) -> None:
        """Makes the file's bytes and size durable."""
        os.fdatasync(self._descriptor)

    def truncate(self, size_bytes: int) -> None:
        """Shortens the file; later writes go to its new end."""
        os.ftruncate(self._descriptor, size_bytes)

    def close(self) -> None:
        """Closes without syncing."""
        os.close(self._descriptor)


class LocalLock:
    """An advisory lock, which the system releases when the process exits."""

    def __init__(self, descriptor: int) -> None:
        """Takes over a descriptor that is locked."""
        self._descriptor = descriptor

    def release(self) -> None:
        """Releases the lock by closing its descriptor; call it once."""
        os.close(self._descriptor)


class LocalFileSystem:
    """Operations on the operating system's files and folders by path."""

    def make_folder(self, path: str) -> None:
        """Creates a folder and its parents unless it exists."""
        os.makedirs(path, mode=0o700, exist_ok=True)

    def names(self, path: str) -> list[str]:
        """Returns the names in a folder, in any order."""
        return os.listdir(path)

    def exists(self, path: str) -> bool:
        """Returns whether the file or folder exists."""
        return os.path.exists(path)

    def read(self, path: str) -> bytes:
        """Returns the content of a file."""
        return pathlib.Path(path).read_bytes()

    def open_append(self, path: str) -> LocalFile:
        """Opens a file for appending; creates it if it is missing."""
        return LocalFile(path)

    def replace(self, source: str, target: str) -> None:
        """Renames a file, atomically replacing the target."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Removes a file."""
        os.remove(path)

    def sync_folder(self, path: str) -> None:
        """Makes created, renamed and removed names of a folder durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path: str) -> LocalLock | None:
        """Locks a file, creating it if missing; None if it is locked."""
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        descriptor = os.open(path, flags, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return None
        except OSError:
            os.close(descriptor)
            raise
        return LocalLock(descriptor)
