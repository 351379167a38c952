"""Joins a replica, its storage and the codec for a control program."""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

from cranberrymux.consensus import codec
from cranberrymux.consensus import effects
from cranberrymux.consensus import entry
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import member_change
from cranberrymux.consensus import messages
from cranberrymux.consensus import refusals
from cranberrymux.consensus import replacement
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import status as status_module
from cranberrymux.consensus import write
from cranberrymux.storage import failure


class Outgoing(NamedTuple):
    """A message to send; it may be lost.

    Attributes:
        recipient: Replica id.
        address: Where the membership says it is reached; empty if unknown.
        payload: The encoded message.
    """

    recipient: str
    address: str
    payload: bytes


class Actions(NamedTuple):
    """What the caller does after a call of the driver, in this order.

    Attributes:
        outgoing: Messages to send, best effort.
        install: Snapshot that replaces the state machine's whole state.
        committed: Entries to apply; those of kind COMMAND carry payloads.
        snapshot_wanted: True if the state machine should hand its state to
            `snapshot_taken`.
    """

    outgoing: tuple[Outgoing, ...] = ()
    install: snapshot.Snapshot | None = None
    committed: tuple[entry.Entry, ...] = ()
    snapshot_wanted: bool = False


class Proposed(NamedTuple):
    """A proposal that was taken, not yet accepted.

    Attributes:
        log_index: Where it stands. Accepted once a committed entry has this
            index and `term`; not accepted once one has another term.
        term: Term of this leader.
        actions: What to do now.
    """

    log_index: int
    term: int
    actions: Actions


Refused = refusals.NotLeader | refusals.ProposalRefused


class LogDriver:
    """A replica on its disk.

    The caller owns the clock, the sockets and the thread that syncs: after
    every call it takes `next_batch`, has the storage apply it, and hands the
    result to `batch_done`. Writes that come up meanwhile form the next batch.
    """

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        generator: random.Random,
        restored: restored_state.RestoredState,
        now_s: float,
    ) -> None:
        """Starts the replica from what the storage restored."""
        self._replica = replica_module.Replica(
            settings, generator, restored, now_s
        )
        self._queue: list[write.Write] = []
        self._busy = False
        self._storage_error: failure.StorageError | None = None

    @property
    def replica(self) -> replica_module.Replica:
        """The replica; to be read only."""
        return self._replica

    @property
    def storage_error(self) -> failure.StorageError | None:
        """Why the storage failed; then the driver is silent for good.

        `CORRUPT` at path `log`: the log contradicts itself.
        """
        return self._storage_error

    def status(self, now_s: float) -> status_module.Status:
        """What operators want to know."""
        return self._replica.status(now_s)

    def may_read(self, now_s: float) -> bool:
        """True if the state machine, as applied, is up to date now."""
        journal = self._replica.journal
        return (
            self._storage_error is None
            and self._replica.lease_valid(now_s)
            and journal.applied_index == journal.commit_index
        )

    def vouches_until_s(self, now_s: float) -> float | None:
        """End of the leader lease on the caller's clock; None if none."""
        if self._storage_error is not None:
            return None
        return self._replica.lease_until_s(now_s)

    def tick(self, now_s: float) -> Actions:
        """Lets time pass; call it every 20 to 50 ms."""
        if self._storage_error is not None:
            return Actions()
        return self._run(lambda: self._replica.tick(now_s))

    def receive(
        self, now_s: float, payload: bytes
    ) -> Actions | codec.DecodeError:
        """Takes a message from another replica."""
        if self._storage_error is not None:
            return Actions()
        message = codec.decode(payload)
        if isinstance(message, codec.DecodeError):
            return message
        return self._run(lambda: self._replica.step(now_s, message))

    def found(
        self, now_s: float, cluster_id: str, address: str
    ) -> Actions | Refused:
        """Founds a cluster with this replica as its only member."""
        result = self._replica.found(now_s, cluster_id, address)
        if isinstance(result, refusals.ProposalRefused):
            return result
        return self._act(result)

    def propose(self, now_s: float, payload: bytes) -> Proposed | Refused:
        """Proposes a command."""
        if self._storage_error is not None:
            return self._refuse(self._storage_error)
        result = self._replica.propose(now_s, payload)
        if isinstance(result, refusals.NotLeader | refusals.ProposalRefused):
            return result
        actions = self._act(result.effects)
        return Proposed(result.log_index, result.term, actions)

    def change_members(
        self, now_s: float, change: member_change.MemberChange
    ) -> Proposed | Refused:
        """Proposes a change of members."""
        if self._storage_error is not None:
            return self._refuse(self._storage_error)
        result = self._replica.change_members(now_s, change)
        if isinstance(result, refusals.NotLeader | refusals.ProposalRefused):
            return result
        actions = self._act(result.effects)
        return Proposed(result.log_index, result.term, actions)

    def due_change(self, now_s: float) -> member_change.MemberChange | None:
        """The next step of replacing a lost replica, if this one leads."""
        return replacement.next_change(self._replica, now_s)

    def snapshot_taken(
        self, now_s: float, log_index: int, data: bytes
    ) -> Actions:
        """Takes the state machine's state as of an applied entry."""
        if self._storage_error is not None:
            return Actions()
        return self._run(
            lambda: self._replica.snapshot_taken(now_s, log_index, data)
        )

    def next_batch(self) -> tuple[write.Write, ...]:
        """Writes for the storage; empty if none, or while one batch runs."""
        if self._busy or not self._queue or self._storage_error is not None:
            return ()
        batch = tuple(self._queue)
        self._queue.clear()
        self._busy = True
        return batch

    def batch_done(
        self,
        now_s: float,
        batch: Sequence[write.Write],
        result: failure.StorageError | None,
    ) -> Actions:
        """Takes the storage's result for a batch.

        After a failure nothing is sent, committed or acknowledged any more;
        the process must end and start again from the folder.
        """
        self._busy = False
        if result is not None:
            self._storage_error = result
            return Actions()
        write_id = batch[-1].write_id
        return self._run(lambda: self._replica.disk_done(now_s, write_id))

    def _refuse(self, error: failure.StorageError) -> refusals.ProposalRefused:
        return refusals.ProposalRefused(
            refusals.RefusalReason.STORAGE_FAILED,
            f"{error.reason.value}: {error.path}: {error.detail}",
        )

    def _run(self, step: Callable[[], effects.Effects]) -> Actions:
        # A replica that found its state impossible says nothing more.
        try:
            return self._act(step())
        except invariant_error.InvariantError as error:
            self._storage_error = failure.StorageError(
                failure.StorageFailure.CORRUPT, "log", str(error)
            )
            return Actions()

    def _act(self, result: effects.Effects) -> Actions:
        self._queue.extend(result.writes)
        return Actions(
            tuple(self._address(message) for message in result.messages),
            result.install,
            result.committed,
            result.snapshot_wanted,
        )

    def _address(self, message: messages.Message) -> Outgoing:
        found = self._replica.journal.members.find(message.recipient)
        address = found.address if found else ""
        return Outgoing(message.recipient, address, codec.encode(message))
