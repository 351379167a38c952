"""What a leader knows of one member."""

import collections
import math

from cranberrymux.consensus import snapshot as snapshot_module


class Progress:
    """How far a member's log agrees, and what is on its way to it.

    Attributes:
        match_index: Last entry known to be durable there.
        next_index: First entry of the next message.
        probing: True until the member has confirmed a common entry; until
            then it is sent no entries.
        in_flight: Last index of each message with entries on its way.
        probe_sent: True if a probe is on its way.
        waiting_since_s: When the member last confirmed something, or was
            sent something while nothing was on its way.
        heard_at_s: When the member was last heard.
        confirmed_at_s: The leader's clock when it sent the newest message
            that the member answered; base of the lease.
        sending: Snapshot on its way; None if entries are sent.
        sending_offset: First byte of that snapshot not yet confirmed.
        chunk_sent: True if a chunk is on its way.
        told_commit_index: Commit index in the last message sent.
    """

    def __init__(self, next_index: int, now_s: float) -> None:
        """Knows nothing yet of a member."""
        self.match_index = 0
        self.next_index = next_index
        self.probing = True
        self.in_flight: collections.deque[int] = collections.deque()
        self.probe_sent = False
        self.waiting_since_s = now_s
        self.heard_at_s = now_s
        self.confirmed_at_s = -math.inf
        self.sending: snapshot_module.Snapshot | None = None
        self.sending_offset = 0
        self.chunk_sent = False
        self.told_commit_index = 0

    @property
    def is_waiting(self) -> bool:
        """True if something on its way is to be answered."""
        return bool(self.in_flight) or self.probe_sent or self.chunk_sent

    def may_send(self, max_in_flight: int) -> bool:
        """True if another message with entries may go out."""
        return not self.probing and len(self.in_flight) < max_in_flight

    def note_sent(self, now_s: float, last_index: int) -> None:
        """Notes a message whose last entry has this index."""
        self._note_waiting(now_s)
        self.in_flight.append(last_index)
        self.next_index = last_index + 1

    def note_probe(self, now_s: float) -> None:
        """Notes a message that asks for a common entry."""
        self._note_waiting(now_s)
        self.probe_sent = True

    def note_chunk(self, now_s: float) -> None:
        """Notes a piece of the snapshot."""
        self._note_waiting(now_s)
        self.chunk_sent = True

    def note_contact(self, now_s: float, sent_at_s: float) -> None:
        """Notes an answer to a message sent at `sent_at_s`."""
        self.heard_at_s = now_s
        self.confirmed_at_s = max(self.confirmed_at_s, sent_at_s)

    def note_match(self, now_s: float, match_index: int) -> None:
        """Notes that the member agrees up to an index."""
        self.probing = False
        self.probe_sent = False
        if match_index > self.match_index:
            self.match_index = match_index
            self.waiting_since_s = now_s
        while self.in_flight and self.in_flight[0] <= match_index:
            self.in_flight.popleft()
        self.next_index = max(self.next_index, self.match_index + 1)

    def note_mismatch(self, hint_index: int) -> None:
        """Goes back to where the member may agree."""
        self.in_flight.clear()
        self.probing = True
        self.probe_sent = False
        self.next_index = max(self.match_index + 1, hint_index + 1)

    def start_over(self, now_s: float) -> None:
        """Takes what is on its way as lost, and asks before sending more."""
        self.waiting_since_s = now_s
        self.in_flight.clear()
        self.probe_sent = False
        self.chunk_sent = False
        if not self.probing:
            self.probing = True
            self.next_index = self.match_index + 1

    def start_snapshot(self, whole: snapshot_module.Snapshot) -> None:
        """Begins to send a snapshot."""
        self.sending = whole
        self.sending_offset = 0
        self.chunk_sent = False
        self.in_flight.clear()

    def finish_snapshot(self, now_s: float) -> None:
        """Goes on with the entries after the snapshot."""
        if self.sending is None:
            return
        index = self.sending.log_index
        self.sending = None
        self.chunk_sent = False
        self.next_index = index + 1
        self.note_match(now_s, index)

    def _note_waiting(self, now_s: float) -> None:
        if not self.is_waiting:
            self.waiting_since_s = now_s
