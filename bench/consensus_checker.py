"""Checks the guarantees of the replicated log in a simulated cluster."""

import zlib

from bench import consensus_node
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import role as role_module


class ViolationError(Exception):
    """A guarantee of the log or an expectation of a scenario was violated."""


class Checker:
    """Records what replicas do and raises `ViolationError`.

    Attributes:
        states: Number of cluster states that were checked.
        committed: Committed entries by index.
        digests: Checksum of the state machine by the index of the last entry
            that it applied; 0 is the empty state machine.
    """

    def __init__(self) -> None:
        """Starts without any recorded entry or leader."""
        self.states = 0
        self.committed: dict[int, entry_module.Entry] = {}
        self.digests: dict[int, int] = {0: 0}
        self._committed_at_proposal: dict[bytes, int] = {}
        self._commit_terms: dict[int, int] = {}
        self._leader_ids: dict[int, str] = {}
        self._contents: dict[tuple[int, int], tuple[int, bytes]] = {}

    @property
    def leader_terms(self) -> list[int]:
        """Terms that had a leader, in ascending order."""
        return sorted(self._leader_ids)

    @property
    def last_committed_index(self) -> int:
        """Index of the last entry that any replica reported as committed."""
        return max(self.committed, default=0)

    def check_committed(
        self, node: consensus_node.Node, entry: entry_module.Entry
    ) -> None:
        """Checks that replicas commit the same entries without gaps."""
        if entry.log_index != node.applied_index + 1:
            raise ViolationError(
                f"{node.name} skips entries before entry {entry.log_index}"
            )
        assert node.replica is not None
        term = node.replica.journal.term
        self._commit_terms.setdefault(entry.log_index, term)
        if entry.log_index not in self.committed:
            self._check_proposal_order(entry)
        known = self.committed.setdefault(entry.log_index, entry)
        if known != entry:
            raise ViolationError(
                f"committed entries differ at index {entry.log_index}:"
                f" {known}, {entry}"
            )
        digest = digest_after(node.digest, entry)
        if self.digests.setdefault(entry.log_index, digest) != digest:
            raise ViolationError(
                f"state digests differ after entry {entry.log_index}"
            )

    def record_proposal(self, payload: bytes) -> None:
        """Records the last index that was committed before a proposal."""
        self._committed_at_proposal[payload] = self.last_committed_index

    def check_snapshot(
        self, node: consensus_node.Node, log_index: int, digest: int
    ) -> None:
        """Checks that a snapshot to install holds the committed entries."""
        if log_index < node.applied_index:
            raise ViolationError(
                f"{node.name} goes back to a snapshot at entry {log_index}"
            )
        if self.digests.get(log_index) != digest:
            raise ViolationError(
                f"snapshot at entry {log_index} differs from committed state"
            )

    def check_on_quorum(
        self,
        nodes: list[consensus_node.Node],
        node: consensus_node.Node,
        entry: entry_module.Entry,
    ) -> None:
        """Checks that a committed entry is durable on a quorum of disks."""
        assert node.replica is not None
        members = node.replica.journal.membership
        holders = [x.disk.replica_id for x in nodes if x.disk.holds(entry)]
        if not members.has_quorum(holders):
            raise ViolationError(
                f"entry {entry.log_index} committed, only durable on {holders}"
            )

    def check_appended(self, entries: tuple[entry_module.Entry, ...]) -> None:
        """Checks that index and term determine the content of an entry."""
        for entry in entries:
            key = (entry.log_index, entry.term)
            value = (int(entry.kind), entry.payload)
            if self._contents.setdefault(key, value) != value:
                raise ViolationError(f"two entries with (index, term) {key}")

    def check(self, nodes: list[consensus_node.Node], now_s: float) -> None:
        """Checks that a term has one leader and at most one lease is valid."""
        self.states += 1
        holders = []
        for node in nodes:
            replica = node.replica
            if replica is None or replica.role is not role_module.Role.LEADER:
                node.led_term = 0
                continue
            term = replica.journal.term
            if node.led_term != term:
                node.led_term = term
                self._check_new_leader(node, term)
            if replica.has_valid_lease(node.local_time_s(now_s)):
                holders.append(node)
        if len(holders) > 1:
            raise ViolationError(
                f"several valid leases: {[x.name for x in holders]}"
            )
        for node in holders:
            self._check_lease(node)

    def _check_proposal_order(self, entry: entry_module.Entry) -> None:
        if entry.kind is not entry_module.EntryKind.COMMAND:
            return
        index_at_proposal = self._committed_at_proposal.pop(entry.payload, None)
        if index_at_proposal is None:
            raise ViolationError(f"{entry.payload!r} committed twice")
        if entry.log_index <= index_at_proposal:
            raise ViolationError(f"{entry.payload!r} committed out of order")

    def _check_new_leader(self, node: consensus_node.Node, term: int) -> None:
        assert node.replica is not None
        replica_id = node.replica.replica_id
        if self._leader_ids.setdefault(term, replica_id) != replica_id:
            raise ViolationError(f"two leaders in term {term}")
        log = node.replica.journal.log
        last_index = self._last_committed_before(term)
        if last_index < log.first_index:
            return
        if log.term_at(last_index) != self.committed[last_index].term:
            raise ViolationError(
                f"{node.name} is elected without committed entry {last_index}"
            )

    def _last_committed_before(self, term: int) -> int:
        # A delayed vote may still elect a leader of a past term; its log need
        # not hold the entries that later terms committed.
        for index in range(self.last_committed_index, 0, -1):
            if self._commit_terms[index] < term:
                return index
        return 0

    def _check_lease(self, node: consensus_node.Node) -> None:
        assert node.replica is not None
        commit_index = node.replica.journal.commit_index
        if commit_index < self.last_committed_index:
            raise ViolationError(
                f"{node.name} holds the lease at commit index {commit_index},"
                f" last committed is {self.last_committed_index}"
            )


def digest_after(digest: int, entry: entry_module.Entry) -> int:
    """Returns the checksum of the state machine's state after an entry.

    Args:
        digest: Checksum before the entry; 0 for the empty state machine.
        entry: The applied entry.
    """
    return zlib.crc32(
        b"%d:%d:" % (entry.log_index, entry.term) + entry.payload, digest
    )
