"""Reads and verifies the whole content of a data folder."""

from typing import NamedTuple

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot as snapshot_module
from cranberrymux.consensus import write as write_module
from cranberrymux.storage import atomic_file
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import segment
from cranberrymux.storage import segmented_log
from cranberrymux.storage import state_files


class FolderContent(NamedTuple):
    """Durable state in a folder, and the log segments that it was read from.

    Attributes:
        state: State that a replica starts from.
        segments: The log's segments in the order of their entries.
        log_is_superseded: True if the snapshot replaces the whole log, so that
            its segments must be removed.
    """

    state: restored_state.RestoredState
    segments: tuple[segment.SegmentContent, ...]
    log_is_superseded: bool


def read(
    files: file_system.FileSystem, folder: str, replica_id: str
) -> FolderContent | failure.StorageError:
    """Reads a folder without changing it.

    Args:
        files: File system that contains the folder.
        folder: Path of the folder.
        replica_id: Replica id from the folder's identity file.

    Returns:
        The content, or why the folder cannot be used.
    """
    hard_state = _read_vote(files, folder)
    if isinstance(hard_state, failure.StorageError):
        return hard_state
    snapshot = _read_snapshot(files, folder)
    if isinstance(snapshot, failure.StorageError):
        return snapshot
    segments = segmented_log.read(files, folder)
    if isinstance(segments, failure.StorageError):
        return segments
    entries = [
        record.entry for segment in segments for record in segment.records
    ]
    if entries and entries[0].log_index > snapshot.log_index + 1:
        return failure.StorageError(
            failure.StorageFailure.CORRUPT,
            folder,
            f"the log begins at index {entries[0].log_index}, but the snapshot"
            f" ends at index {snapshot.log_index}",
        )
    is_superseded = _is_superseded(snapshot, entries)
    kept = () if is_superseded else _entries_after(snapshot, entries)
    highest_term = max([snapshot.term, *(entry.term for entry in kept)])
    if hard_state.term < highest_term:
        return failure.StorageError(
            failure.StorageFailure.CORRUPT,
            folder,
            f"term {hard_state.term} in the vote file is lower than term"
            f" {highest_term} in the log or snapshot",
        )
    state = restored_state.RestoredState(replica_id, hard_state, snapshot, kept)
    return FolderContent(state, segments, is_superseded)


def _read_vote(
    files: file_system.FileSystem, folder: str
) -> write_module.HardState | failure.StorageError:
    body = atomic_file.read(
        files, folder, state_files.VOTE_NAME, atomic_file.FileKind.VOTE
    )
    if isinstance(body, failure.StorageError):
        return body
    if body is None:
        return write_module.HardState(0, "")
    return state_files.decode_vote(body) or _undecodable(
        folder, state_files.VOTE_NAME
    )


def _read_snapshot(
    files: file_system.FileSystem, folder: str
) -> snapshot_module.Snapshot | failure.StorageError:
    body = atomic_file.read(
        files, folder, state_files.SNAPSHOT_NAME, atomic_file.FileKind.SNAPSHOT
    )
    if isinstance(body, failure.StorageError):
        return body
    if body is None:
        return snapshot_module.NONE
    return state_files.decode_snapshot(body) or _undecodable(
        folder, state_files.SNAPSHOT_NAME
    )


def _is_superseded(
    snapshot: snapshot_module.Snapshot, entries: list[entry_module.Entry]
) -> bool:
    # A crash after writing a received snapshot, but before removing the log
    # that it replaces, leaves both.
    if not entries:
        return False
    position = snapshot.log_index - entries[0].log_index
    if position < 0:
        return False
    return position >= len(entries) or entries[position].term != snapshot.term


def _entries_after(
    snapshot: snapshot_module.Snapshot, entries: list[entry_module.Entry]
) -> tuple[entry_module.Entry, ...]:
    return tuple(
        entry for entry in entries if entry.log_index > snapshot.log_index
    )


def _undecodable(folder: str, name: str) -> failure.StorageError:
    return failure.StorageError(
        failure.StorageFailure.CORRUPT,
        f"{folder}/{name}",
        "the body cannot be decoded",
    )
