"""How a replica takes entries and snapshots from a leader."""

from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import snapshot as snapshot_module


class Follower:
    """Brings the journal in line with the leader of the present term."""

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        journal: journal_module.Journal,
    ) -> None:
        """Works on the journal."""
        self._settings = settings
        self._journal = journal
        self._partial = bytearray()
        self._partial_of = (0, 0, 0)

    def take(
        self, message: messages.AppendRequest | messages.SnapshotChunk
    ) -> None:
        """Takes what a leader sent; tells one of an older term of the newer."""
        is_old = message.term < self._journal.term
        if isinstance(message, messages.SnapshotChunk):
            if is_old:
                self._answer_chunk(message, 0, False)
            else:
                self.take_chunk(message)
        elif is_old:
            self._answer_entries(message, False, 0)
        else:
            self.take_entries(message)

    def take_entries(self, request: messages.AppendRequest) -> None:
        """Takes entries if they follow what the log has, and answers."""
        if not _is_contiguous(request):
            return
        log = self._journal.log
        last_index = request.previous_index + len(request.entries)
        start_index = log.first_index - 1
        previous_index = request.previous_index
        if previous_index >= start_index:
            term = log.term_at(previous_index)
            if term != request.previous_term:
                self._answer_entries(request, False, self._hint(request))
                return
        # Entries up to `start_index` are committed and dropped here.
        if last_index > start_index:
            self._merge(request, start_index)
        self._journal.commit(min(request.commit_index, last_index))
        self._answer_entries(request, True, last_index)

    def take_chunk(self, chunk: messages.SnapshotChunk) -> None:
        """Takes a piece of a snapshot, and installs the whole."""
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
        self._gather(chunk)
        if len(self._partial) < chunk.total_bytes:
            self._answer_chunk(chunk, len(self._partial), False)
            return
        data = bytes(self._partial)
        self.forget_partial()
        journal.install_snapshot(
            snapshot_module.Snapshot(
                chunk.log_index, chunk.snapshot_term, chunk.members, data
            )
        )
        self._answer_chunk(chunk, chunk.total_bytes, True)

    def forget_partial(self) -> None:
        """Drops the pieces of an unfinished snapshot."""
        self._partial = bytearray()
        self._partial_of = (0, 0, 0)

    def _merge(self, request: messages.AppendRequest, start_index: int) -> None:
        log = self._journal.log
        entries = request.entries
        for place, one in enumerate(entries):
            if one.log_index <= start_index:
                continue
            if one.log_index <= log.last_index:
                if log.term_at(one.log_index) == one.term:
                    continue
                self._journal.truncate(one.log_index)
            self._journal.append(entries[place:])
            return

    def _hint(self, request: messages.AppendRequest) -> int:
        log = self._journal.log
        if request.previous_index > log.last_index:
            return log.last_index
        before_term = log.first_index_of_term(request.previous_index) - 1
        return max(before_term, self._journal.commit_index)

    def _gather(self, chunk: messages.SnapshotChunk) -> None:
        # The bytes of a snapshot may differ from one leader to the next.
        whole = (chunk.term, chunk.log_index, chunk.total_bytes)
        if whole != self._partial_of:
            self._partial = bytearray()
            self._partial_of = whole
        if chunk.offset == len(self._partial):
            self._partial += chunk.data

    def _answer_entries(
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
        self, chunk: messages.SnapshotChunk, received_bytes: int, whole: bool
    ) -> None:
        self._journal.send_durable(
            messages.SnapshotAnswer(
                chunk.cluster_id,
                self._journal.replica_id,
                chunk.sender,
                self._journal.term,
                chunk.log_index,
                received_bytes,
                whole,
                chunk.sent_at_s,
            )
        )


def _is_contiguous(request: messages.AppendRequest) -> bool:
    index = request.previous_index
    for one in request.entries:
        index += 1
        if one.log_index != index:
            return False
    return True
