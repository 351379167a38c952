"""Builds the messages that a leader sends to one member."""

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import progress as progress_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import snapshot as snapshot_module


class Sender:
    """Sends entries, heartbeats and snapshot chunks to a member."""

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        journal: journal_module.Journal,
    ) -> None:
        """Reads entries from the journal and queues messages in it."""
        self._settings = settings
        self._journal = journal

    def send(
        self,
        now_s: float,
        replica_id: str,
        progress: progress_module.Progress,
        heartbeat: bool,
    ) -> None:
        """Sends the member's next entries, or a snapshot if they are compacted.

        Args:
            now_s: The leader's clock.
            replica_id: The member's replica id.
            progress: The member's replication state; updated.
            heartbeat: True to send a message even if nothing is new.
        """
        log = self._journal.log
        if (
            progress.sending_snapshot is None
            and progress.next_index < log.first_index
        ):
            progress.start_snapshot(self._journal.snapshot)
        if progress.sending_snapshot is None:
            self.send_entries(now_s, replica_id, progress, heartbeat)
            return
        if not progress.chunk_sent:
            self._send_chunk(
                now_s, replica_id, progress, progress.sending_snapshot
            )
        elif heartbeat:
            self._send_append(now_s, replica_id, 0, 0, ())

    def send_updates(
        self, now_s: float, replica_id: str, progress: progress_module.Progress
    ) -> None:
        """Sends new entries, or the new commit index if no entries wait.

        The commit index alone is sent only while no message with entries is
        unanswered; its answer leads to another call.
        """
        if progress.next_index <= self._journal.log.last_index:
            self.send(now_s, replica_id, progress, False)
        elif (
            not progress.in_flight
            and progress.sent_commit_index < self._journal.commit_index
        ):
            self.send(now_s, replica_id, progress, True)

    def send_entries(
        self,
        now_s: float,
        replica_id: str,
        progress: progress_module.Progress,
        heartbeat: bool,
    ) -> None:
        """Sends entries, a probe for a common entry, or a heartbeat.

        Sends nothing if none of them is due.
        """
        log = self._journal.log
        previous_index = progress.next_index - 1
        entries: tuple[entry_module.Entry, ...] = ()
        if progress.may_send(self._settings.max_in_flight):
            entries = log.batch(
                progress.next_index,
                self._settings.max_append_entries,
                self._settings.max_append_bytes,
            )
        is_probe = progress.probing and not progress.probe_sent
        if not entries and not heartbeat and not is_probe:
            return
        previous_term = log.term_at(previous_index)
        if previous_term is None:
            return
        progress.sent_commit_index = self._journal.commit_index
        if entries:
            progress.note_sent(now_s, previous_index + len(entries))
        elif progress.probing:
            progress.note_probe(now_s)
        self._send_append(
            now_s, replica_id, previous_index, previous_term, entries
        )

    def _send_append(
        self,
        now_s: float,
        replica_id: str,
        previous_index: int,
        previous_term: int,
        entries: tuple[entry_module.Entry, ...],
    ) -> None:
        self._journal.send(
            messages.AppendRequest(
                self._journal.membership.cluster_id,
                self._journal.replica_id,
                replica_id,
                self._journal.term,
                previous_index,
                previous_term,
                entries,
                self._journal.commit_index,
                now_s,
            )
        )

    def _send_chunk(
        self,
        now_s: float,
        replica_id: str,
        progress: progress_module.Progress,
        snapshot: snapshot_module.Snapshot,
    ) -> None:
        progress.note_chunk(now_s)
        start = progress.snapshot_offset
        self._journal.send(
            messages.SnapshotChunk(
                self._journal.membership.cluster_id,
                self._journal.replica_id,
                replica_id,
                self._journal.term,
                snapshot.log_index,
                snapshot.term,
                snapshot.members,
                start,
                len(snapshot.data),
                snapshot.data[start : start + self._settings.chunk_bytes],
                now_s,
            )
        )
