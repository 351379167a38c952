"""The file system operations that storage uses, so that tests can fail them.

Every operation raises `OSError` as the system's own calls do.
"""

from typing import Protocol


class File(Protocol):
    """A file open for appending."""

    def write(self, data: bytes) -> None:
        """Appends all bytes."""

    def sync(self) -> None:
        """Makes the file's bytes and size durable."""

    def truncate(self, size_bytes: int) -> None:
        """Cuts the file; later writes go to its new end."""

    def close(self) -> None:
        """Closes without syncing."""


class Lock(Protocol):
    """A lock held on a file."""

    def release(self) -> None:
        """Gives the lock back."""


class FileSystem(Protocol):
    """Files and folders."""

    def make_folder(self, path: str) -> None:
        """Makes a folder and its parents; one that exists is fine."""

    def names(self, path: str) -> list[str]:
        """Names in a folder."""

    def exists(self, path: str) -> bool:
        """True if the file or folder exists."""

    def read(self, path: str) -> bytes:
        """Reads a whole file."""

    def open_append(self, path: str) -> File:
        """Opens or makes a file for appending."""

    def replace(self, source: str, target: str) -> None:
        """Renames a file over another, atomically."""

    def remove(self, path: str) -> None:
        """Removes a file."""

    def sync_folder(self, path: str) -> None:
        """Makes the folder's names durable."""

    def lock(self, path: str) -> Lock | None:
        """Locks a file against other processes; None if another holds it."""
