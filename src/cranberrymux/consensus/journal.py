"""A replica's durable state, and the writes that change it."""

from collections.abc import Sequence

from cranberrymux.consensus import effects
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import log as log_module
from cranberrymux.consensus import membership
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
    """Term, vote, log and membership, and the writes that change them.

    Messages given to `send_durable` wait until every write so far is synced.
    """

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        restored: restored_state.RestoredState,
    ) -> None:
        """Starts from what the disk holds."""
        kept = restored.snapshot
        self._settings = settings
        self._replica_id = restored.replica_id
        self._term = restored.hard_state.term
        self._voted_for = restored.hard_state.voted_for
        self._snapshot = kept
        self._log = log_module.Log(kept.log_index, kept.term, restored.entries)
        self._history = membership_history.MembershipHistory(
            kept.log_index, kept.members
        )
        self._history.note(restored.entries)
        self._queue = write_queue.WriteQueue(self._log.last_index)
        self._commit_index = kept.log_index
        self._applied_index = kept.log_index
        self._install = kept if kept.log_index else None
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
        """Highest term seen."""
        return self._term

    @property
    def voted_for(self) -> str:
        """Whom this replica voted for in its term; empty for nobody."""
        return self._voted_for

    @property
    def log(self) -> log_module.Log:
        """The log; to be read only."""
        return self._log

    @property
    def snapshot(self) -> snapshot_module.Snapshot:
        """Last snapshot taken or received."""
        return self._snapshot

    @property
    def commit_index(self) -> int:
        """Last entry known to be committed."""
        return self._commit_index

    @property
    def applied_index(self) -> int:
        """Last entry handed to the state machine."""
        return self._applied_index

    @property
    def durable_index(self) -> int:
        """Last entry of this log that survives a crash here."""
        return self._queue.durable_index

    @property
    def members(self) -> membership.Membership:
        """Membership in force: the last one appended."""
        return self._history.current

    @property
    def voters(self) -> frozenset[str]:
        """Replica ids of the voters in force."""
        return self._history.voters

    @property
    def previous_voters(self) -> frozenset[str]:
        """Voters of the membership before; those in force if none is known."""
        return self._history.previous_voters

    @property
    def members_index(self) -> int:
        """Index of the entry that the membership in force came by."""
        return self._history.current_index

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Raises the term, or records the vote in it."""
        if term < self._term:
            raise invariant_error.InvariantError("the term would fall")
        self._term = term
        self._voted_for = voted_for
        self._pending.hard_state = write_module.HardState(term, voted_for)

    def append(self, entries: Sequence[entry_module.Entry]) -> None:
        """Adds entries to the log's end."""
        self._log.append(entries)
        self._pending.append(entries)
        self._history.note(entries)

    def truncate(self, from_index: int) -> None:
        """Drops uncommitted entries from an index on."""
        if from_index <= self._commit_index:
            raise invariant_error.InvariantError(
                f"committed entry {from_index} would be dropped"
            )
        self._flush()
        self._log.truncate(from_index)
        self._pending.truncate_from = from_index
        self._queue.forget_from(from_index)
        self._history.forget_from(from_index)

    def commit(self, index: int) -> None:
        """Learns that entries up to an index are committed."""
        self._commit_index = max(
            self._commit_index, min(index, self._log.last_index)
        )

    def replace_by(self, snapshot: snapshot_module.Snapshot) -> None:
        """Drops the log for a leader's snapshot, which is newer."""
        self._flush()
        self._snapshot = snapshot
        self._log.reset(snapshot.log_index, snapshot.term)
        self._queue.forget_from(0)
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
        """Keeps the state machine's own snapshot and drops old entries."""
        self._trigger.note_taken()
        term = self._log.term_at(index)
        if index <= self._snapshot.log_index or term is None:
            return
        if index > self._applied_index:
            raise invariant_error.InvariantError(
                f"snapshot at {index}, applied only {self._applied_index}"
            )
        self._flush()
        members = self._history.forget_before(index)
        self._snapshot = snapshot_module.Snapshot(index, term, members, data)
        self._log.drop_below(index + 1 - self._settings.retained_entries)
        self._add_write(
            write_module.Write(
                self._queue.next_write_id,
                snapshot=self._snapshot,
                first_index=self._log.first_index,
            )
        )

    def send(self, message: messages.Message) -> None:
        """Sends a message that states nothing durable."""
        self._outgoing.append(message)

    def send_durable(self, message: messages.Message) -> None:
        """Sends a message once every write so far is synced."""
        self._held.append(message)

    def synced(self, write_id: int) -> None:
        """Learns that all writes up to one are durable."""
        self._queue.synced(write_id)

    def is_synced(self, write_id: int) -> bool:
        """True if the write is durable."""
        return self._queue.is_synced(write_id)

    def is_idle(self) -> bool:
        """True if every write so far is durable."""
        return self._queue.is_idle

    def last_write_id(self) -> int:
        """Id of the write that holds all changes so far."""
        self._flush()
        return self._queue.next_write_id - 1

    def take(self) -> effects.Effects:
        """Ends the step: its writes, messages and new commits."""
        self._flush()
        self._queue.hold(self._held)
        self._held = []
        outgoing = (*self._outgoing, *self._queue.release())
        writes = self._queue.take_writes()
        self._outgoing = []
        install = self._take_install()
        committed = self._take_committed()
        return effects.Effects(
            outgoing, writes, install, committed, self._trigger.ask()
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
