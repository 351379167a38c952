"""Makes a leader's messages to one member."""

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import progress as progress_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import snapshot as snapshot_module


class Sender:
    """Sends entries, heartbeats and pieces of a snapshot."""

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        journal: journal_module.Journal,
    ) -> None:
        """Reads the journal and sends by it."""
        self._settings = settings
        self._journal = journal

    def send(
        self,
        now_s: float,
        replica_id: str,
        known: progress_module.Progress,
        heartbeat: bool,
    ) -> None:
        """Sends what the member may be sent now.

        Args:
            now_s: The leader's clock.
            replica_id: The member.
            known: What is known of the member.
            heartbeat: True to send also if there is nothing new.
        """
        log = self._journal.log
        if known.sending is None and known.next_index < log.first_index:
            known.start_snapshot(self._journal.snapshot)
        if known.sending is None:
            self.send_entries(now_s, replica_id, known, heartbeat)
            return
        if not known.chunk_sent:
            self._send_chunk(now_s, replica_id, known, known.sending)
        elif heartbeat:
            self._send_append(now_s, replica_id, 0, 0, ())

    def send_news(
        self, now_s: float, replica_id: str, known: progress_module.Progress
    ) -> None:
        """Sends entries that the member lacks, or an idle one the commit."""
        if known.next_index <= self._journal.log.last_index:
            self.send(now_s, replica_id, known, False)
        elif (
            not known.in_flight
            and known.told_commit_index < self._journal.commit_index
        ):
            self.send(now_s, replica_id, known, True)

    def send_entries(
        self,
        now_s: float,
        replica_id: str,
        known: progress_module.Progress,
        heartbeat: bool,
    ) -> None:
        """Sends entries, or a heartbeat if there are none to send."""
        log = self._journal.log
        previous_index = known.next_index - 1
        entries: tuple[entry_module.Entry, ...] = ()
        if known.may_send(self._settings.max_in_flight):
            entries = log.batch(
                known.next_index,
                self._settings.max_append_entries,
                self._settings.max_append_bytes,
            )
        is_probe = known.probing and not known.probe_sent
        if not entries and not heartbeat and not is_probe:
            return
        previous_term = log.term_at(previous_index)
        if previous_term is None:
            return
        known.told_commit_index = self._journal.commit_index
        if entries:
            known.note_sent(now_s, previous_index + len(entries))
        elif known.probing:
            known.note_probe(now_s)
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
                self._journal.members.cluster_id,
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
        known: progress_module.Progress,
        whole: snapshot_module.Snapshot,
    ) -> None:
        known.note_chunk(now_s)
        start = known.sending_offset
        self._journal.send(
            messages.SnapshotChunk(
                self._journal.members.cluster_id,
                self._journal.replica_id,
                replica_id,
                self._journal.term,
                whole.log_index,
                whole.term,
                whole.members,
                start,
                len(whole.data),
                whole.data[start : start + self._settings.chunk_bytes],
                now_s,
            )
        )
