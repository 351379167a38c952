"""A data folder's whole content, as read."""

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
    """What a folder holds.

    Attributes:
        state: What a replica starts from.
        segments: The log's segments.
        log_is_superseded: True if the snapshot stands for the whole log,
            whose segments are to be removed.
    """

    state: restored_state.RestoredState
    segments: tuple[segment.SegmentContent, ...]
    log_is_superseded: bool


def read(
    files: file_system.FileSystem, folder: str, replica_id: str
) -> FolderContent | failure.StorageError:
    """Reads a folder without changing it."""
    hard_state = _read_vote(files, folder)
    if isinstance(hard_state, failure.StorageError):
        return hard_state
    snapshot = _read_snapshot(files, folder)
    if isinstance(snapshot, failure.StorageError):
        return snapshot
    segments = segmented_log.read(files, folder)
    if isinstance(segments, failure.StorageError):
        return segments
    entries = [found.entry for one in segments for found in one.records]
    if entries and entries[0].log_index > snapshot.log_index + 1:
        return failure.StorageError(
            failure.StorageFailure.CORRUPT,
            folder,
            f"the log begins at {entries[0].log_index}, the snapshot ends at"
            f" {snapshot.log_index}",
        )
    superseded = _is_superseded(snapshot, entries)
    kept = () if superseded else _after(snapshot, entries)
    highest_term = max([snapshot.term, *(one.term for one in kept)])
    if hard_state.term < highest_term:
        return failure.StorageError(
            failure.StorageFailure.CORRUPT,
            folder,
            f"term {hard_state.term} is older than the log's {highest_term}",
        )
    state = restored_state.RestoredState(replica_id, hard_state, snapshot, kept)
    return FolderContent(state, segments, superseded)


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
    # A crash between writing a received snapshot and dropping the log that it
    # replaces leaves both.
    if not entries:
        return False
    place = snapshot.log_index - entries[0].log_index
    if place < 0:
        return False
    return place >= len(entries) or entries[place].term != snapshot.term


def _after(
    snapshot: snapshot_module.Snapshot, entries: list[entry_module.Entry]
) -> tuple[entry_module.Entry, ...]:
    return tuple(one for one in entries if one.log_index > snapshot.log_index)


def _undecodable(folder: str, name: str) -> failure.StorageError:
    return failure.StorageError(
        failure.StorageFailure.CORRUPT,
        f"{folder}/{name}",
        "the body cannot be read",
    )
