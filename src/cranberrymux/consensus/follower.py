"""Handles a leader's entries and snapshots on the receiving replica."""

from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import snapshot as snapshot_module


class Follower:
    """Replicates the log of the present term's leader into the journal."""

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        journal: journal_module.Journal,
    ) -> None:
        """Starts without a partly received snapshot."""
        self._settings = settings
        self._journal = journal
        self._partial_data = bytearray()
        self._partial_key = (0, 0, 0)

    def handle_message(
        self, message: messages.AppendRequest | messages.SnapshotChunk
    ) -> None:
        """Handles a leader's message; one of an older term is rejected."""
        is_old = message.term < self._journal.term
        if isinstance(message, messages.SnapshotChunk):
            if is_old:
                self._answer_chunk(message, 0, False)
            else:
                self.handle_snapshot_chunk(message)
        elif is_old:
            self._answer_append(message, False, 0)
        else:
            self.handle_append_request(message)

    def handle_append_request(self, request: messages.AppendRequest) -> None:
        """Appends entries if the log holds the entry before them; answers."""
        if not _is_contiguous(request):
            return
        log = self._journal.log
        last_index = request.previous_index + len(request.entries)
        start_index = log.first_index - 1
        previous_index = request.previous_index
        if previous_index >= start_index:
            term = log.term_at(previous_index)
            if term != request.previous_term:
                self._answer_append(request, False, self._match_hint(request))
                return
        # Entries up to `start_index` are committed and no longer held.
        if last_index > start_index:
            self._merge_entries(request, start_index)
        self._journal.commit(min(request.commit_index, last_index))
        self._answer_append(request, True, last_index)

    def handle_snapshot_chunk(self, chunk: messages.SnapshotChunk) -> None:
        """Adds a chunk of a snapshot; installs the snapshot once complete."""
        journal = self._journal
        if chunk.total_bytes > self._settings.max_snapshot_bytes:
            return
        if chunk.log_index <= journal.commit_index:
            self._answer_chunk(chunk, chunk.total_bytes, True)
            return
        if journal.log.term_at(chunk.log_index) == chunk.snapshot_term:
            journal.commit(chunk.log_index)
            self._answer_chunk(chunk, chunk.total_bytes, True)
            return
        self._add_chunk_data(chunk)
        if len(self._partial_data) < chunk.total_bytes:
            self._answer_chunk(chunk, len(self._partial_data), False)
            return
        data = bytes(self._partial_data)
        self.drop_partial_snapshot()
        journal.install_snapshot(
            snapshot_module.Snapshot(
                chunk.log_index, chunk.snapshot_term, chunk.members, data
            )
        )
        self._answer_chunk(chunk, chunk.total_bytes, True)

    def drop_partial_snapshot(self) -> None:
        """Drops the chunks of a partly received snapshot."""
        self._partial_data = bytearray()
        self._partial_key = (0, 0, 0)

    def _merge_entries(
        self, request: messages.AppendRequest, start_index: int
    ) -> None:
        log = self._journal.log
        entries = request.entries
        for position, entry in enumerate(entries):
            if entry.log_index <= start_index:
                continue
            if entry.log_index <= log.last_index:
                if log.term_at(entry.log_index) == entry.term:
                    continue
                self._journal.truncate(entry.log_index)
            self._journal.append(entries[position:])
            return

    def _match_hint(self, request: messages.AppendRequest) -> int:
        log = self._journal.log
        if request.previous_index > log.last_index:
            return log.last_index
        before_term = log.first_index_of_term(request.previous_index) - 1
        return max(before_term, self._journal.commit_index)

    def _add_chunk_data(self, chunk: messages.SnapshotChunk) -> None:
        # Two leaders may send different bytes for a snapshot at one index.
        snapshot_key = (chunk.term, chunk.log_index, chunk.total_bytes)
        if snapshot_key != self._partial_key:
            self._partial_data = bytearray()
            self._partial_key = snapshot_key
        if chunk.offset == len(self._partial_data):
            self._partial_data += chunk.data

    def _answer_append(
        self, request: messages.AppendRequest, accepted: bool, index: int
    ) -> None:
        self._journal.send_durable(
            messages.AppendAnswer(
                request.cluster_id,
                self._journal.replica_id,
                request.sender,
                self._journal.term,
                accepted,
                index,
                request.previous_index,
                request.sent_at_s,
            )
        )

    def _answer_chunk(
        self,
        chunk: messages.SnapshotChunk,
        received_bytes: int,
        installed: bool,
    ) -> None:
        self._journal.send_durable(
            messages.SnapshotAnswer(
                chunk.cluster_id,
                self._journal.replica_id,
                chunk.sender,
                self._journal.term,
                chunk.log_index,
                received_bytes,
                installed,
                chunk.sent_at_s,
            )
        )


def _is_contiguous(request: messages.AppendRequest) -> bool:
    index = request.previous_index
    for entry in request.entries:
        index += 1
        if entry.log_index != index:
            return False
    return True
