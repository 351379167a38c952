"""Log replication, commits and the lease of a leader."""

import math

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import progress as progress_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import sender as sender_module


class Leader:
    """A leader in one term, with the progress of each other member."""

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        journal: journal_module.Journal,
        now_s: float,
    ) -> None:
        """Appends an entry of the new term and sends it to all members.

        Entries of older terms can be committed only together with it.
        """
        self._settings = settings
        self._journal = journal
        self._elected_at_s = now_s
        self._first_own_index = journal.log.last_index + 1
        self._sender = sender_module.Sender(settings, journal)
        self._progress: dict[str, progress_module.Progress] = {}
        self._next_heartbeat_s = now_s + settings.heartbeat_s
        self._uncommitted_bytes = _payload_bytes(
            journal, journal.commit_index + 1, journal.log.last_index
        )
        self.append(entry_module.EntryKind.NOOP, b"")
        self.send_all(now_s, True)

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this leader's own term is committed."""
        return self._journal.commit_index >= self._first_own_index

    @property
    def uncommitted_entries(self) -> int:
        """Number of entries in the log that are not yet committed."""
        return self._journal.log.last_index - self._journal.commit_index

    def has_room(self, size_bytes: int) -> bool:
        """Returns whether the uncommitted limits allow another payload."""
        settings = self._settings
        total_bytes = self._uncommitted_bytes + size_bytes
        return (
            self.uncommitted_entries < settings.max_uncommitted_entries
            and total_bytes <= settings.max_uncommitted_bytes
        )

    def match_index(self, replica_id: str) -> int:
        """Returns the index of the last entry known durable at a member."""
        progress = self._progress.get(replica_id)
        return progress.match_index if progress else 0

    def silent_s(self, now_s: float, replica_id: str) -> float:
        """Returns seconds since a member was heard from, or infinity."""
        progress = self._progress.get(replica_id)
        return now_s - progress.heard_at_s if progress else math.inf

    def append(self, kind: entry_module.EntryKind, payload: bytes) -> int:
        """Appends an entry of this term and returns its index."""
        index = self._journal.log.last_index + 1
        entry = entry_module.Entry(index, self._journal.term, kind, payload)
        self._journal.append((entry,))
        self._uncommitted_bytes += len(payload)
        return index

    def lease_until_s(self) -> float:
        """Returns when the lease ends on the leader's clock.

        The lease starts at the latest time such that a quorum has answered
        messages sent at or after it; the members of that quorum vote for no
        other replica for `lease_s` after they received them.
        """
        base_s = self._quorum_value(
            {
                replica_id: progress.answered_sent_at_s
                for replica_id, progress in self._progress.items()
            },
            math.inf,
            -math.inf,
        )
        return base_s + self._settings.leader_lease_s

    def has_quorum_contact(self, now_s: float) -> bool:
        """Returns whether a quorum was heard from within the lease time."""
        heard_s = self._quorum_value(
            {
                replica_id: progress.heard_at_s
                for replica_id, progress in self._progress.items()
            },
            math.inf,
            -math.inf,
        )
        since_s = now_s - max(heard_s, self._elected_at_s)
        return since_s <= self._settings.lease_s

    def advance_commit(self, now_s: float) -> None:
        """Commits entries durable at a quorum; notifies idle members."""
        index = int(
            self._quorum_value(
                {
                    replica_id: progress.match_index
                    for replica_id, progress in self._progress.items()
                },
                self._journal.durable_index,
                0,
            )
        )
        if index <= self._journal.commit_index or not self._is_own_term(index):
            return
        self._uncommitted_bytes -= _payload_bytes(
            self._journal, self._journal.commit_index + 1, index
        )
        self._journal.commit(index)
        for replica_id, progress in self._progress.items():
            if not progress.in_flight and progress.sending_snapshot is None:
                self._sender.send_entries(now_s, replica_id, progress, True)

    def tick(self, now_s: float) -> None:
        """Sends heartbeats when due, and resends unanswered messages."""
        if now_s < self._next_heartbeat_s:
            return
        self._next_heartbeat_s = now_s + self._settings.heartbeat_s
        retry_s = 2 * self._settings.heartbeat_s
        for progress in self._progress.values():
            if (
                progress.is_waiting
                and now_s - progress.waiting_since_s >= retry_s
            ):
                progress.restart_probing(now_s)
        self.send_all(now_s, True)

    def send_all(self, now_s: float, heartbeat: bool) -> None:
        """Sends pending entries or snapshot chunks to every other member.

        Args:
            now_s: The leader's clock.
            heartbeat: True to send also to members that lack nothing.
        """
        self._update_members(now_s)
        for replica_id, progress in self._progress.items():
            self._sender.send(now_s, replica_id, progress, heartbeat)

    def handle_append_answer(
        self, now_s: float, answer: messages.AppendAnswer
    ) -> None:
        """Handles a member's answer to entries or a heartbeat."""
        progress = self._progress.get(answer.sender)
        if progress is None:
            return
        progress.note_answer(now_s, answer.sent_at_s)
        if progress.sending_snapshot is not None:
            return
        if answer.accepted:
            progress.note_match(now_s, answer.match_index)
        elif self._is_current_answer(progress, answer):
            progress.note_mismatch(answer.match_index)
        else:
            return
        self._sender.send_updates(now_s, answer.sender, progress)

    def handle_snapshot_answer(
        self, now_s: float, answer: messages.SnapshotAnswer
    ) -> None:
        """Handles a member's answer to a snapshot chunk."""
        progress = self._progress.get(answer.sender)
        if progress is None:
            return
        progress.note_answer(now_s, answer.sent_at_s)
        if (
            progress.sending_snapshot is None
            or progress.sending_snapshot.log_index != answer.log_index
        ):
            return
        if answer.installed:
            progress.finish_snapshot(now_s)
        elif answer.received_bytes != progress.snapshot_offset:
            progress.snapshot_offset = answer.received_bytes
            progress.waiting_since_s = now_s
            progress.chunk_sent = False
        self._sender.send(now_s, answer.sender, progress, False)

    def _is_own_term(self, index: int) -> bool:
        # An entry of an older term is committed only through a later entry of
        # this term: even if a quorum holds it, a new leader may overwrite it.
        return self._journal.log.term_at(index) == self._journal.term

    def _quorum_value(
        self, values: dict[str, float], own: float, unknown: float
    ) -> float:
        # The largest value that a quorum of voters has reached.
        voters = self._journal.voters
        own_id = self._journal.replica_id
        reached = [
            values.get(voter_id, unknown)
            for voter_id in voters
            if voter_id != own_id
        ]
        if own_id in voters:
            reached.append(own)
        if not reached:
            return unknown
        reached.sort(reverse=True)
        return reached[len(voters) // 2]

    def _is_current_answer(
        self,
        progress: progress_module.Progress,
        answer: messages.AppendAnswer,
    ) -> bool:
        if answer.previous_index <= progress.match_index:
            return False
        return not progress.probing or (
            answer.previous_index == progress.next_index - 1
        )

    def _update_members(self, now_s: float) -> None:
        members = self._journal.membership
        member_ids = {member.replica_id for member in members.members}
        member_ids.discard(self._journal.replica_id)
        for replica_id in set(self._progress) - member_ids:
            del self._progress[replica_id]
        for replica_id in sorted(member_ids - set(self._progress)):
            self._progress[replica_id] = progress_module.Progress(
                self._journal.log.last_index, now_s
            )


def _payload_bytes(
    journal: journal_module.Journal, first_index: int, last_index: int
) -> int:
    entries = journal.log.between(first_index, last_index)
    return sum(len(entry.payload) for entry in entries)
