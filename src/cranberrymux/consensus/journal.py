"""In-memory copy of a replica's durable state, and the writes to it."""

from collections.abc import Sequence

from cranberrymux.consensus import effects
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import log as log_module
from cranberrymux.consensus import membership as membership_module
from cranberrymux.consensus import membership_history
from cranberrymux.consensus import messages
from cranberrymux.consensus import pending_write
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot as snapshot_module
from cranberrymux.consensus import snapshot_trigger
from cranberrymux.consensus import write as write_module
from cranberrymux.consensus import write_queue


class Journal:
    """Term, vote, log and membership, and the writes that persist changes.

    It also collects the messages of a step; those given to `send_durable` are
    held back until every write so far is durable.
    """

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        restored: restored_state.RestoredState,
    ) -> None:
        """Starts from the durable state that the storage restored."""
        snapshot = restored.snapshot
        self._settings = settings
        self._replica_id = restored.replica_id
        self._term = restored.hard_state.term
        self._voted_for = restored.hard_state.voted_for
        self._snapshot = snapshot
        self._log = log_module.Log(
            snapshot.log_index, snapshot.term, restored.entries
        )
        self._history = membership_history.MembershipHistory(
            snapshot.log_index, snapshot.members
        )
        self._history.append(restored.entries)
        self._queue = write_queue.WriteQueue(self._log.last_index)
        self._commit_index = snapshot.log_index
        self._applied_index = snapshot.log_index
        self._install = snapshot if snapshot.log_index else None
        self._install_write_id = 0
        self._trigger = snapshot_trigger.SnapshotTrigger(settings)
        self._pending = pending_write.PendingWrite()
        self._outgoing: list[messages.Message] = []
        self._held: list[messages.Message] = []

    @property
    def replica_id(self) -> str:
        """This replica's identity."""
        return self._replica_id

    @property
    def term(self) -> int:
        """Highest term that this replica has seen."""
        return self._term

    @property
    def voted_for(self) -> str:
        """Replica id voted for in the current term; empty for none."""
        return self._voted_for

    @property
    def log(self) -> log_module.Log:
        """The log; to be read only."""
        return self._log

    @property
    def snapshot(self) -> snapshot_module.Snapshot:
        """Latest snapshot, whether taken here or received from a leader."""
        return self._snapshot

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._commit_index

    @property
    def applied_index(self) -> int:
        """Index of the last entry handed to the state machine."""
        return self._applied_index

    @property
    def durable_index(self) -> int:
        """Index of the last entry that is durable on this replica's disk."""
        return self._queue.durable_index

    @property
    def membership(self) -> membership_module.Membership:
        """Membership in force: the last one appended."""
        return self._history.current

    @property
    def voters(self) -> frozenset[str]:
        """Replica ids of the voters in force."""
        return self._history.voters

    @property
    def previous_voters(self) -> frozenset[str]:
        """Voters of the membership before the one in force.

        The voters in force if no earlier membership is known.
        """
        return self._history.previous_voters

    @property
    def membership_index(self) -> int:
        """Index of the entry that put the membership in force."""
        return self._history.current_index

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Sets a higher term, or records the vote in the present one.

        Args:
            term: The current term or a higher one.
            voted_for: Replica id voted for in that term; empty for none.
        """
        if term < self._term:
            raise invariant_error.InvariantError(
                "the new term is lower than the current term"
            )
        self._term = term
        self._voted_for = voted_for
        self._pending.hard_state = write_module.HardState(term, voted_for)

    def append(self, entries: Sequence[entry_module.Entry]) -> None:
        """Appends entries, and puts memberships among them in force."""
        self._log.append(entries)
        self._pending.append(entries)
        self._history.append(entries)

    def truncate(self, from_index: int) -> None:
        """Drops the uncommitted entries from `from_index` to the log's end."""
        if from_index <= self._commit_index:
            raise invariant_error.InvariantError(
                f"cannot truncate the log at committed entry {from_index}"
            )
        self._flush()
        self._log.truncate(from_index)
        self._pending.truncate_from = from_index
        self._queue.note_dropped_from(from_index)
        self._history.truncate(from_index)

    def commit(self, index: int) -> None:
        """Advances the commit index, as far as the log reaches."""
        self._commit_index = max(
            self._commit_index, min(index, self._log.last_index)
        )

    def install_snapshot(self, snapshot: snapshot_module.Snapshot) -> None:
        """Replaces the whole log by a leader's newer snapshot."""
        self._flush()
        self._snapshot = snapshot
        self._log.reset(snapshot.log_index, snapshot.term)
        self._queue.note_dropped_from(0)
        self._history.reset(snapshot.log_index, snapshot.members)
        self._commit_index = snapshot.log_index
        self._install = snapshot
        self._install_write_id = self._queue.next_write_id
        self._add_write(
            write_module.Write(
                self._queue.next_write_id,
                snapshot=snapshot,
                replaces_log=True,
                first_index=snapshot.log_index + 1,
            )
        )

    def compact(self, index: int, data: bytes) -> None:
        """Stores the state machine's own snapshot and drops old entries.

        The last entries before the snapshot stay in the log, at most
        `retained_entries` of them with `retained_log_bytes`. A snapshot that is
        no newer than the stored one is ignored.

        Args:
            index: Last entry that the snapshot covers; must be applied.
            data: The state machine's serialized state.
        """
        self._trigger.note_taken()
        term = self._log.term_at(index)
        if index <= self._snapshot.log_index or term is None:
            return
        if index > self._applied_index:
            raise invariant_error.InvariantError(
                f"snapshot covers entry {index}, but the last applied entry is "
                f"{self._applied_index}"
            )
        self._flush()
        members = self._history.drop_before(index)
        self._snapshot = snapshot_module.Snapshot(index, term, members, data)
        self._log.retain_before(
            index + 1,
            self._settings.retained_entries,
            self._settings.retained_log_bytes,
        )
        self._add_write(
            write_module.Write(
                self._queue.next_write_id,
                snapshot=self._snapshot,
                first_index=self._log.first_index,
            )
        )

    def send(self, message: messages.Message) -> None:
        """Queues a message that may be sent before any write is durable."""
        self._outgoing.append(message)

    def send_durable(self, message: messages.Message) -> None:
        """Queues a message to be sent once every write so far is durable."""
        self._held.append(message)

    def note_synced(self, write_id: int) -> None:
        """Marks all writes up to `write_id` as durable."""
        self._queue.note_synced(write_id)

    def is_synced(self, write_id: int) -> bool:
        """True if this write and all before it are durable."""
        return self._queue.is_synced(write_id)

    def is_idle(self) -> bool:
        """True if every write so far is durable."""
        return self._queue.is_idle

    def last_write_id(self) -> int:
        """Turns the pending changes into a write.

        Returns:
            Id of the write that completes all changes so far.
        """
        self._flush()
        return self._queue.next_write_id - 1

    def take_effects(self) -> effects.Effects:
        """Ends a step and takes its writes, messages and new commits."""
        self._flush()
        self._queue.hold(self._held)
        self._held = []
        outgoing = (*self._outgoing, *self._queue.release())
        writes = self._queue.take_writes()
        self._outgoing = []
        install = self._take_install()
        committed = self._take_committed()
        snapshot_wanted = self._trigger.request_if_due(len(self._snapshot.data))
        return effects.Effects(
            outgoing, writes, install, committed, snapshot_wanted
        )

    def _flush(self) -> None:
        write = self._pending.take(self._queue.next_write_id)
        if write is not None:
            self._add_write(write)

    def _add_write(self, write: write_module.Write) -> None:
        self._queue.add(write, self._log.last_index)

    def _take_install(self) -> snapshot_module.Snapshot | None:
        install = self._install
        if install is None or not self.is_synced(self._install_write_id):
            return None
        self._install = None
        self._applied_index = install.log_index
        return install

    def _take_committed(self) -> tuple[entry_module.Entry, ...]:
        last_index = min(self._commit_index, self.durable_index)
        if self._install is not None or last_index <= self._applied_index:
            return ()
        first_index = self._applied_index + 1
        self._applied_index = last_index
        committed = tuple(self._log.between(first_index, last_index))
        self._trigger.note_applied(committed)
        return committed
