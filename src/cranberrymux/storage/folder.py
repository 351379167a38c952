"""Restores a replica from its data folder and makes its writes durable."""

import collections
from collections.abc import Sequence
from typing import Any

from cranberrymux.consensus import restored_state
from cranberrymux.consensus import write as write_module
from cranberrymux.storage import atomic_file
from cranberrymux.storage import failure
from cranberrymux.storage import file_system
from cranberrymux.storage import folder_content
from cranberrymux.storage import segmented_log
from cranberrymux.storage import state_files


class Folder:
    """A locked data folder of one replica.

    After the first failure every `apply` returns `CLOSED`: how much of a failed
    write or sync is durable is unknown. If the disk was full, `resume` makes
    the rest of the writes durable; after any other failure the process must
    restart and read the folder again.
    """

    def __init__(
        self,
        files: file_system.FileSystem,
        path: str,
        lock: file_system.Lock,
        *,
        replica_id: str,
        is_new: bool,
        segment_bytes: int,
    ) -> None:
        """Takes over a locked folder; use `opening.open_folder`.

        Args:
            files: File system that contains the folder.
            path: The folder.
            lock: Lock on the folder, released by `close`.
            replica_id: `name@incarnation` from the identity file.
            is_new: True if the identity was created by this opening.
            segment_bytes: Size at which a new log segment is started.
        """
        self._files = files
        self._path = path
        self._lock = lock
        self._replica_id = replica_id
        self._is_new = is_new
        self._log = segmented_log.SegmentedLog(files, path, segment_bytes)
        self._error: failure.StorageError | None = None
        self._is_restored = False
        # The writes of the last `apply` that are not known to be durable.
        self._pending: collections.deque[write_module.Write] = (
            collections.deque()
        )

    @property
    def replica_id(self) -> str:
        """`name@incarnation`, generated when the folder was created."""
        return self._replica_id

    @property
    def is_new(self) -> bool:
        """True if this opening created the folder's identity."""
        return self._is_new

    def restore(self) -> restored_state.RestoredState | failure.StorageError:
        """Reads the durable state and truncates a torn tail; call it once.

        Returns:
            The state, or why the folder cannot be used. A damaged record that
            is known to have been durable is an error, never skipped.
        """
        content = folder_content.read(self._files, self._path, self._replica_id)
        if isinstance(content, failure.StorageError):
            return self._fail(content)
        try:
            self._log.adopt(content.segments)
            if content.log_is_superseded:
                self._log.reset()
        except OSError as error:
            return self._fail(failure.from_write_error(self._path, error))
        self._is_restored = True
        return content.state

    def apply(
        self, writes: Sequence[write_module.Write]
    ) -> failure.StorageError | None:
        """Makes writes durable in order; appended entries share one sync.

        Returns:
            None once all of them survive a power failure, else why they may
            not.
        """
        if self._error is not None or not self._is_restored:
            return self._closed_error()
        self._pending = collections.deque(writes)
        return self._apply_pending()

    def resume(self) -> failure.StorageError | None:
        """Continues with the writes of an `apply` that found the disk full.

        Returns:
            Like `apply`; `DISK_FULL` as long as there is no room.
        """
        if self._error is None or not self._error.is_disk_full:
            return self._closed_error()
        try:
            self._log.recover()
        except OSError as os_error:
            return self._fail(failure.from_write_error(self._path, os_error))
        self._error = None
        return self._apply_pending()

    def close(self) -> None:
        """Closes the log and releases the lock."""
        if self._error is None:
            self._error = self._closed_error()
        try:
            self._log.close()
        finally:
            self._lock.release()

    def _apply_pending(self) -> failure.StorageError | None:
        try:
            while self._pending:
                error = self._apply_first()
                if error is not None:
                    return self._fail(error)
                self._pending.popleft()
            self._log.sync()
        except OSError as os_error:
            return self._fail(failure.from_write_error(self._path, os_error))
        return None

    def _apply_first(self) -> failure.StorageError | None:
        """Applies the first pending write, from which each step is removed.

        After a failure, no step that is complete is repeated: a repeated
        truncation would take away entries that were appended after it.
        """
        error = self._store_vote(self._pending[0]) or self._store_snapshot(
            self._pending[0]
        )
        if error is not None:
            return error
        if self._pending[0].replaces_log:
            self._log.reset()
            self._note_done(replaces_log=False, first_index=None)
        truncate_from = self._pending[0].truncate_from
        if truncate_from is not None:
            self._log.truncate(truncate_from)
            self._note_done(truncate_from=None)
        self._log.append(self._pending[0].entries)
        first_index = self._pending[0].first_index
        if first_index is not None:
            self._log.drop_below(first_index)
        return None

    def _note_done(self, **changes: Any) -> None:
        """Changes fields of the first pending write to those of no change."""
        self._pending[0] = self._pending[0]._replace(**changes)

    def _store_vote(
        self, write: write_module.Write
    ) -> failure.StorageError | None:
        if write.hard_state is None:
            return None
        error = self._replace_file(
            state_files.VOTE_NAME,
            atomic_file.FileKind.VOTE,
            (state_files.encode_vote(write.hard_state),),
        )
        if error is None:
            self._note_done(hard_state=None)
        return error

    def _store_snapshot(
        self, write: write_module.Write
    ) -> failure.StorageError | None:
        if write.snapshot is None:
            return None
        error = self._replace_file(
            state_files.SNAPSHOT_NAME,
            atomic_file.FileKind.SNAPSHOT,
            state_files.encode_snapshot(write.snapshot),
        )
        if error is None:
            self._note_done(snapshot=None)
        elif error.is_disk_full and not write.replaces_log:
            # The log holds what a replica's own snapshot covers until there
            # is room for the next one.
            self._note_done(snapshot=None, first_index=None)
            error = None
        return error

    def _replace_file(
        self, name: str, kind: atomic_file.FileKind, body: Sequence[bytes]
    ) -> failure.StorageError | None:
        # Syncs earlier entries first, so that a crash leaves a prefix of the
        # writes.
        self._log.sync()
        return atomic_file.write(self._files, self._path, name, kind, body)

    def _fail(self, error: failure.StorageError) -> failure.StorageError:
        self._error = error
        return error

    def _closed_error(self) -> failure.StorageError:
        detail = "the folder is not open"
        if self._error is not None:
            detail = f"refused after an earlier error: {self._error.detail}"
        return failure.StorageError(
            failure.StorageFailure.CLOSED, self._path, detail
        )
