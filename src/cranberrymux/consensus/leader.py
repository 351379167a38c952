"""What a leader does: sends the log, counts disks, keeps its lease."""

import math

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import progress as progress_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import sender as sender_module


class Leader:
    """A leader's knowledge of its members, for one term."""

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        journal: journal_module.Journal,
        now_s: float,
    ) -> None:
        """Takes office: appends an entry of its own term."""
        self._settings = settings
        self._journal = journal
        self._elected_at_s = now_s
        self._first_index = journal.log.last_index + 1
        self._sender = sender_module.Sender(settings, journal)
        self._progress: dict[str, progress_module.Progress] = {}
        self._heartbeat_at_s = now_s + settings.heartbeat_s
        self._uncommitted_bytes = _size_bytes(
            journal, journal.commit_index + 1, journal.log.last_index
        )
        self.append(entry_module.EntryKind.NOOP, b"")
        self.send_all(now_s, True)

    @property
    def has_committed(self) -> bool:
        """True once an entry of this leader's own term is committed."""
        return self._journal.commit_index >= self._first_index

    @property
    def uncommitted_entries(self) -> int:
        """Entries that wait for the quorum."""
        return self._journal.log.last_index - self._journal.commit_index

    def has_room(self, size_bytes: int) -> bool:
        """True if a payload may join the entries that wait."""
        settings = self._settings
        whole_bytes = self._uncommitted_bytes + size_bytes
        return (
            self.uncommitted_entries < settings.max_uncommitted_entries
            and whole_bytes <= settings.max_uncommitted_bytes
        )

    def match_index(self, replica_id: str) -> int:
        """Last entry known to be durable at a member."""
        known = self._progress.get(replica_id)
        return known.match_index if known else 0

    def silent_s(self, now_s: float, replica_id: str) -> float:
        """Time since a member was heard."""
        known = self._progress.get(replica_id)
        return now_s - known.heard_at_s if known else math.inf

    def append(self, kind: entry_module.EntryKind, payload: bytes) -> int:
        """Appends an entry and returns its index."""
        index = self._journal.log.last_index + 1
        one = entry_module.Entry(index, self._journal.term, kind, payload)
        self._journal.append((one,))
        self._uncommitted_bytes += len(payload)
        return index

    def lease_until_s(self) -> float:
        """When the lease ends, by the leader's clock.

        A quorum answered messages that this leader sent at or after the base
        of the lease, and gives no vote for `lease_s` from their receipt.
        """
        base_s = self._of_quorum(
            {
                replica_id: known.answered_sent_at_s
                for replica_id, known in self._progress.items()
            },
            math.inf,
            -math.inf,
        )
        return base_s + self._settings.leader_lease_s

    def has_contact(self, now_s: float) -> bool:
        """True if a quorum was heard within the lease time."""
        heard_s = self._of_quorum(
            {
                replica_id: known.heard_at_s
                for replica_id, known in self._progress.items()
            },
            math.inf,
            -math.inf,
        )
        since_s = now_s - max(heard_s, self._elected_at_s)
        return since_s <= self._settings.lease_s

    def advance_commit(self, now_s: float) -> None:
        """Commits what a quorum of disks holds, and tells idle members."""
        index = int(
            self._of_quorum(
                {
                    replica_id: known.match_index
                    for replica_id, known in self._progress.items()
                },
                self._journal.durable_index,
                0,
            )
        )
        if index <= self._journal.commit_index or not self._counts(index):
            return
        self._uncommitted_bytes -= _size_bytes(
            self._journal, self._journal.commit_index + 1, index
        )
        self._journal.commit(index)
        for replica_id, known in self._progress.items():
            if not known.in_flight and known.sending_snapshot is None:
                self._sender.send_entries(now_s, replica_id, known, True)

    def tick(self, now_s: float) -> None:
        """Sends heartbeats, and again what was not answered."""
        if now_s < self._heartbeat_at_s:
            return
        self._heartbeat_at_s = now_s + self._settings.heartbeat_s
        retry_s = 2 * self._settings.heartbeat_s
        for known in self._progress.values():
            if known.is_waiting and now_s - known.waiting_since_s >= retry_s:
                known.restart_probing(now_s)
        self.send_all(now_s, True)

    def send_all(self, now_s: float, heartbeat: bool) -> None:
        """Sends to every member what it may be sent."""
        self._settle_members(now_s)
        for replica_id, known in self._progress.items():
            self._sender.send(now_s, replica_id, known, heartbeat)

    def take_append_answer(
        self, now_s: float, answer: messages.AppendAnswer
    ) -> None:
        """Takes a member's answer to entries or a heartbeat."""
        known = self._progress.get(answer.sender)
        if known is None:
            return
        known.note_answer(now_s, answer.sent_at_s)
        if known.sending_snapshot is not None:
            return
        if answer.accepted:
            known.note_match(now_s, answer.match_index)
        elif self._is_current(known, answer):
            known.note_mismatch(answer.match_index)
        else:
            return
        self._sender.send_updates(now_s, answer.sender, known)

    def take_snapshot_answer(
        self, now_s: float, answer: messages.SnapshotAnswer
    ) -> None:
        """Takes a member's answer to a piece of the snapshot."""
        known = self._progress.get(answer.sender)
        if known is None:
            return
        known.note_answer(now_s, answer.sent_at_s)
        if (
            known.sending_snapshot is None
            or known.sending_snapshot.log_index != answer.log_index
        ):
            return
        if answer.installed:
            known.finish_snapshot(now_s)
        elif answer.received_bytes != known.snapshot_offset:
            known.snapshot_offset = answer.received_bytes
            known.waiting_since_s = now_s
            known.chunk_sent = False
        self._sender.send(now_s, answer.sender, known, False)

    def _counts(self, index: int) -> bool:
        # Entries of older terms are committed only by one of this term: a
        # quorum may hold them and yet lose them to another leader.
        return self._journal.log.term_at(index) == self._journal.term

    def _of_quorum(
        self, values: dict[str, float], own: float, unknown: float
    ) -> float:
        # The greatest value that a quorum of voters has reached.
        voters = self._journal.voters
        own_id = self._journal.replica_id
        reached = [values.get(x, unknown) for x in voters if x != own_id]
        if own_id in voters:
            reached.append(own)
        if not reached:
            return unknown
        reached.sort(reverse=True)
        return reached[len(voters) // 2]

    def _is_current(
        self,
        known: progress_module.Progress,
        answer: messages.AppendAnswer,
    ) -> bool:
        if answer.previous_index <= known.match_index:
            return False
        return not known.probing or (
            answer.previous_index == known.next_index - 1
        )

    def _settle_members(self, now_s: float) -> None:
        members = self._journal.members
        wanted = {one.replica_id for one in members.members}
        wanted.discard(self._journal.replica_id)
        for replica_id in set(self._progress) - wanted:
            del self._progress[replica_id]
        for replica_id in sorted(wanted - set(self._progress)):
            self._progress[replica_id] = progress_module.Progress(
                self._journal.log.last_index, now_s
            )


def _size_bytes(
    journal: journal_module.Journal, first_index: int, last_index: int
) -> int:
    entries = journal.log.between(first_index, last_index)
    return sum(len(one.payload) for one in entries)
