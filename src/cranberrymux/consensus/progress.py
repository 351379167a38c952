"""Replication state that a leader keeps for one member."""

import collections
import math

from cranberrymux.consensus import snapshot as snapshot_module


class Progress:
    """How far a member's log matches, and which messages are unanswered.

    Attributes:
        match_index: Last entry known to be durable at the member.
        next_index: First entry of the next message.
        probing: True until the member has confirmed a common entry; until
            then it is sent no entries.
        in_flight: Last index of each unanswered message with entries.
        probe_sent: True if a probe is unanswered.
        waiting_since_s: When the member last confirmed something new, or was
            sent a message while none was unanswered; base of the resend
            timeout.
        heard_at_s: When the last answer arrived; at first, when this state
            was created.
        answered_sent_at_s: When the leader sent the newest message that the
            member answered; base of the lease.
        sending_snapshot: Snapshot being sent; None while entries are sent.
        snapshot_offset: First byte of that snapshot not yet confirmed.
        chunk_sent: True if a chunk is unanswered.
        sent_commit_index: Commit index in the last message with entries,
            probe or heartbeat that was sent.
    """

    def __init__(self, next_index: int, now_s: float) -> None:
        """Starts by probing for a common entry.

        Args:
            next_index: First entry to send; the probe asks for the one before.
            now_s: Present time of the leader's clock.
        """
        self.match_index = 0
        self.next_index = next_index
        self.probing = True
        self.in_flight: collections.deque[int] = collections.deque()
        self.probe_sent = False
        self.waiting_since_s = now_s
        self.heard_at_s = now_s
        self.answered_sent_at_s = -math.inf
        self.sending_snapshot: snapshot_module.Snapshot | None = None
        self.snapshot_offset = 0
        self.chunk_sent = False
        self.sent_commit_index = 0

    @property
    def is_waiting(self) -> bool:
        """True if any message that needs an answer is unanswered."""
        return bool(self.in_flight) or self.probe_sent or self.chunk_sent

    def may_send(self, max_in_flight: int) -> bool:
        """True if another message with entries may be sent."""
        return not self.probing and len(self.in_flight) < max_in_flight

    def note_sent(self, now_s: float, last_index: int) -> None:
        """Records that entries up to `last_index` were sent."""
        self._note_waiting(now_s)
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def note_probe(self, now_s: float) -> None:
        """Records that a probe for a common entry was sent."""
        self._note_waiting(now_s)
        self.probe_sent = True

    def note_chunk(self, now_s: float) -> None:
        """Records that a chunk of the snapshot was sent."""
        self._note_waiting(now_s)
        self.chunk_sent = True

    def note_answer(self, now_s: float, sent_at_s: float) -> None:
        """Records any answer to a message sent at `sent_at_s`."""
        self.heard_at_s = now_s
        self.answered_sent_at_s = max(self.answered_sent_at_s, sent_at_s)

    def note_match(self, now_s: float, match_index: int) -> None:
        """Records that the member's log matches up to `match_index`."""
        self.probing = False
        self.probe_sent = False
        if match_index > self.match_index:
            self.match_index = match_index
            self.waiting_since_s = now_s
        while self.in_flight and self.in_flight[0] <= match_index:
            self.in_flight.popleft()
        self.next_index = max(self.next_index, self.match_index + 1)

    def note_mismatch(self, hint_index: int) -> None:
        """Probes again, further back, after the member rejected a message.

        Args:
            hint_index: Last entry that may match, as the member answered.
        """
        self.in_flight.clear()
        self.probing = True
        self.probe_sent = False
        self.next_index = max(self.match_index + 1, hint_index + 1)

    def restart_probing(self, now_s: float) -> None:
        """Treats all unanswered messages as lost, and probes again."""
        self.waiting_since_s = now_s
        self.in_flight.clear()
        self.probe_sent = False
        self.chunk_sent = False
        if not self.probing:
            self.probing = True
            self.next_index = self.match_index + 1

    def start_snapshot(self, snapshot: snapshot_module.Snapshot) -> None:
        """Starts to send a snapshot in place of entries."""
        self.sending_snapshot = snapshot
        self.snapshot_offset = 0
        self.chunk_sent = False
        self.in_flight.clear()

    def finish_snapshot(self, now_s: float) -> None:
        """Continues with the entries after the installed snapshot."""
        if self.sending_snapshot is None:
            return
        index = self.sending_snapshot.log_index
        self.sending_snapshot = None
        self.chunk_sent = False
        self.next_index = index + 1
        self.note_match(now_s, index)

    def _note_waiting(self, now_s: float) -> None:
        if not self.is_waiting:
            self.waiting_since_s = now_s
