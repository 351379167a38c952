"""Interface of the file system, which tests replace to inject failures.

Every operation raises `OSError` as the operating system's calls do.
"""

from typing import Protocol


class File(Protocol):
    """A file that is open for appending."""

    def write(self, data: bytes) -> None:
        """Appends all bytes."""

    def sync(self) -> None:
        """Makes the file's bytes and size durable."""

    def truncate(self, size_bytes: int) -> None:
        """Shortens the file; later writes go to its new end."""

    def close(self) -> None:
        """Closes without syncing."""


class Lock(Protocol):
    """An exclusive lock that is held on a file."""

    def release(self) -> None:
        """Releases the lock; call it once."""


class FileSystem(Protocol):
    """Operations on files and folders by path."""

    def make_folder(self, path: str) -> None:
        """Creates a folder and its parents unless it exists."""

    def names(self, path: str) -> list[str]:
        """Returns the names in a folder, in any order."""

    def exists(self, path: str) -> bool:
        """Returns whether the file or folder exists."""

    def read(self, path: str) -> bytes:
        """Returns the content of a file."""

    def open_append(self, path: str) -> File:
        """Opens a file for appending; creates it if it is missing."""

    def replace(self, source: str, target: str) -> None:
        """Renames a file, atomically replacing the target."""

    def remove(self, path: str) -> None:
        """Removes a file."""

    def sync_folder(self, path: str) -> None:
        """Makes created, renamed and removed names of a folder durable."""

    def lock(self, path: str) -> Lock | None:
        """Locks a file, creating it if missing; None if it is locked."""
