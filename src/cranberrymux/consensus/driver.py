"""Connects a replica with its storage, the codec and the caller's I/O."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import codec
from cranberrymux.consensus import effects
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import member_change
from cranberrymux.consensus import messages
from cranberrymux.consensus import outgoing_message
from cranberrymux.consensus import proposed as proposed_module
from cranberrymux.consensus import refusals
from cranberrymux.consensus import replacement
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import status as status_module
from cranberrymux.consensus import write
from cranberrymux.storage import failure

Refused = refusals.NotLeader | refusals.ProposalRefused


class LogDriver:
    """A replica with its queue of writes and the codec.

    The caller owns the clock, the sockets and the thread that syncs: after
    every call it takes `next_batch`, has the storage apply it, and passes the
    result to `batch_done`. Writes that are queued meanwhile form the next
    batch.
    """

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        generator: random.Random,
        restored: restored_state.RestoredState,
        now_s: float,
    ) -> None:
        """Starts the replica from what the storage restored.

        Args:
            settings: Times and limits; the same for all members.
            generator: Source of the random election timeouts.
            restored: Durable state from the storage.
            now_s: Present time on a monotonic clock.
        """
        self._replica = replica_module.Replica(
            settings, generator, restored, now_s
        )
        self._queued_writes: list[write.Write] = []
        self._batch_in_progress = False
        self._storage_error: failure.StorageError | None = None

    @property
    def replica(self) -> replica_module.Replica:
        """The replica; to be read only."""
        return self._replica

    @property
    def storage_error(self) -> failure.StorageError | None:
        """First storage failure; None while there was none.

        After it the driver sends and accepts nothing any more. `CORRUPT` at
        path `log` means that the replica found its own state inconsistent.
        """
        return self._storage_error

    def status(self, now_s: float) -> status_module.Status:
        """The replica's state, for operators and health checks."""
        return self._replica.status(now_s)

    def may_read(self, now_s: float) -> bool:
        """True if the state machine may serve linearizable reads now.

        This replica then holds the leader lease and has applied every
        committed entry.
        """
        journal = self._replica.journal
        return (
            self._storage_error is None
            and self._replica.has_valid_lease(now_s)
            and journal.applied_index == journal.commit_index
        )

    def lease_until_s(self, now_s: float) -> float | None:
        """End of the leader lease on the caller's clock; None without one."""
        if self._storage_error is not None:
            return None
        return self._replica.lease_until_s(now_s)

    def tick(self, now_s: float) -> actions_module.Actions:
        """Handles timeouts and heartbeats; call it every 20 to 50 ms."""
        if self._storage_error is not None:
            return actions_module.Actions()
        return self._run(lambda: self._replica.tick(now_s))

    def receive(
        self, now_s: float, payload: bytes
    ) -> actions_module.Actions | codec.DecodeError:
        """Decodes and handles a message from another replica.

        Returns:
            What the caller must do, or why the payload is no message.
        """
        if self._storage_error is not None:
            return actions_module.Actions()
        message = codec.decode(payload)
        if isinstance(message, codec.DecodeError):
            return message
        return self._run(lambda: self._replica.step(now_s, message))

    def found_cluster(
        self, now_s: float, cluster_id: str, address: str
    ) -> actions_module.Actions | Refused:
        """Founds a cluster with this replica as its only member.

        Args:
            now_s: Present time.
            cluster_id: Fresh id; messages of other clusters are dropped.
            address: Where peers reach this replica.
        """
        result = self._replica.found_cluster(now_s, cluster_id, address)
        if isinstance(result, refusals.ProposalRefused):
            return result
        return self._to_actions(result)

    def propose(
        self, now_s: float, payload: bytes
    ) -> proposed_module.Proposed | Refused:
        """Appends a command for the state machine, if this replica leads."""
        if self._storage_error is not None:
            return self._storage_refusal(self._storage_error)
        result = self._replica.propose(now_s, payload)
        if isinstance(result, refusals.NotLeader | refusals.ProposalRefused):
            return result
        actions = self._to_actions(result.effects)
        return proposed_module.Proposed(result.log_index, result.term, actions)

    def change_members(
        self, now_s: float, change: member_change.MemberChange
    ) -> proposed_module.Proposed | Refused:
        """Appends a change of the membership, if this replica leads."""
        if self._storage_error is not None:
            return self._storage_refusal(self._storage_error)
        result = self._replica.change_members(now_s, change)
        if isinstance(result, refusals.NotLeader | refusals.ProposalRefused):
            return result
        actions = self._to_actions(result.effects)
        return proposed_module.Proposed(result.log_index, result.term, actions)

    def next_member_change(
        self, now_s: float
    ) -> member_change.MemberChange | None:
        """Next membership change that replaces a lost replica.

        Returns:
            The change; None if none is due or this replica does not lead.
        """
        return replacement.next_change(self._replica, now_s)

    def store_snapshot(
        self, now_s: float, log_index: int, data: bytes
    ) -> actions_module.Actions:
        """Stores a snapshot of the state machine and compacts the log.

        Args:
            now_s: Present time.
            log_index: Last entry applied to the state in `data`.
            data: The state machine's serialized state.
        """
        if self._storage_error is not None:
            return actions_module.Actions()
        return self._run(
            lambda: self._replica.store_snapshot(now_s, log_index, data)
        )

    def next_batch(self) -> tuple[write.Write, ...]:
        """Takes the queued writes that the storage must apply.

        Returns:
            The writes in order; empty if none are queued, while a batch is in
            progress, and after a storage failure.
        """
        if (
            self._batch_in_progress
            or not self._queued_writes
            or self._storage_error is not None
        ):
            return ()
        batch = tuple(self._queued_writes)
        self._queued_writes.clear()
        self._batch_in_progress = True
        return batch

    def batch_delayed(self) -> None:
        """Notes that the batch in progress waits until the disk has room.

        The caller tries again and passes the last result to `batch_done`.
        """
        self._replica.note_disk_full()

    def batch_done(
        self,
        now_s: float,
        batch: Sequence[write.Write],
        result: failure.StorageError | None,
    ) -> actions_module.Actions:
        """Handles the storage's last result for a batch of `next_batch`.

        After a failure nothing is sent, committed or acknowledged any more;
        the process must exit and restart from the data folder.

        Args:
            now_s: Present time.
            batch: The batch that was applied.
            result: Why it failed; None if the whole batch is durable.
        """
        self._batch_in_progress = False
        if result is not None:
            self._storage_error = result
            return actions_module.Actions()
        write_id = batch[-1].write_id
        return self._run(lambda: self._replica.note_synced(now_s, write_id))

    def _storage_refusal(
        self, error: failure.StorageError
    ) -> refusals.ProposalRefused:
        return refusals.ProposalRefused(
            refusals.RefusalReason.STORAGE_FAILED,
            f"{error.reason.value}: {error.path}: {error.detail}",
        )

    def _run(
        self, step: Callable[[], effects.Effects]
    ) -> actions_module.Actions:
        # A replica whose state is inconsistent must not send anything more.
        try:
            return self._to_actions(step())
        except invariant_error.InvariantError as error:
            self._storage_error = failure.StorageError(
                failure.StorageFailure.CORRUPT, "log", str(error)
            )
            return actions_module.Actions()

    def _to_actions(self, result: effects.Effects) -> actions_module.Actions:
        self._queued_writes.extend(result.writes)
        return actions_module.Actions(
            tuple(
                self._encode_outgoing(message) for message in result.messages
            ),
            result.snapshot_to_install,
            result.committed,
            result.snapshot_wanted,
        )

    def _encode_outgoing(
        self, message: messages.Message
    ) -> outgoing_message.OutgoingMessage:
        recipient = self._replica.journal.membership.find(message.recipient)
        address = recipient.address if recipient else ""
        return outgoing_message.OutgoingMessage(
            message.recipient, address, codec.encode(message)
        )
