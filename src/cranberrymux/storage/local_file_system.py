"""The operating system's file system."""

import fcntl
import os
import pathlib


class LocalFile:
    """A file open for appending."""

    def __init__(self, path: str) -> None:
        """Opens or makes the file."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o600)

    def write(self, data: bytes) -> None:
        """Appends all bytes."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self) -> None:
        """Makes the file's bytes and size durable."""
        os.fdatasync(self._descriptor)

    def truncate(self, size_bytes: int) -> None:
        """Cuts the file; later writes go to its new end."""
        os.ftruncate(self._descriptor, size_bytes)

    def close(self) -> None:
        """Closes without syncing."""
        os.close(self._descriptor)


class LocalLock:
    """An advisory lock, which the system gives back when the process ends."""

    def __init__(self, descriptor: int) -> None:
        """Holds the locked descriptor."""
        self._descriptor = descriptor

    def release(self) -> None:
        """Gives the lock back."""
        os.close(self._descriptor)


class LocalFileSystem:
    """Files and folders of this instance."""

    def make_folder(self, path: str) -> None:
        """Makes a folder and its parents; one that exists is fine."""
        os.makedirs(path, mode=0o700, exist_ok=True)

    def names(self, path: str) -> list[str]:
        """Names in a folder."""
        return os.listdir(path)

    def exists(self, path: str) -> bool:
        """True if the file or folder exists."""
        return os.path.exists(path)

    def read(self, path: str) -> bytes:
        """Reads a whole file."""
        return pathlib.Path(path).read_bytes()

    def open_append(self, path: str) -> LocalFile:
        """Opens or makes a file for appending."""
        return LocalFile(path)

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another, atomically."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Removes a file."""
        os.remove(path)

    def sync_folder(self, path: str) -> None:
        """Makes the folder's names durable."""
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path: str) -> LocalLock | None:
        """Locks a file against other processes; None if another holds it."""
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
