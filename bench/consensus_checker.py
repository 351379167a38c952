"""The guarantees of the log, checked after every event of a schedule."""

import zlib

from bench import consensus_node
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import role as role_module


class ViolationError(Exception):
    """A guarantee was broken."""


class Checker:
    """Sees all that replicas do; raises `ViolationError`."""

    def __init__(self) -> None:
        """Knows of nothing yet."""
        self.states = 0
        self.committed: dict[int, entry_module.Entry] = {}
        self.digests: dict[int, int] = {0: 0}
        self._proposed_after: dict[bytes, int] = {}
        self._commit_terms: dict[int, int] = {}
        self._leaders: dict[int, str] = {}
        self._entries: dict[tuple[int, int], tuple[int, bytes]] = {}

    @property
    def leader_terms(self) -> list[int]:
        """Terms that had a leader."""
        return sorted(self._leaders)

    @property
    def last_committed(self) -> int:
        """Last entry that any replica took as committed."""
        return max(self.committed, default=0)

    def saw_committed(
        self, node: consensus_node.Node, one: entry_module.Entry
    ) -> None:
        """Checks that commits have no gaps and never differ."""
        if one.log_index != node.applied_index + 1:
            raise ViolationError(f"{node.name} skips to entry {one.log_index}")
        assert node.replica is not None
        term = node.replica.journal.term
        self._commit_terms.setdefault(one.log_index, term)
        if one.log_index not in self.committed:
            self._check_order(one)
        known = self.committed.setdefault(one.log_index, one)
        if known != one:
            raise ViolationError(
                f"entry {one.log_index} differs: {known}, {one}"
            )
        digest = digest_of(node.digest, one)
        if self.digests.setdefault(one.log_index, digest) != digest:
            raise ViolationError(f"states differ at entry {one.log_index}")

    def saw_proposed(self, payload: bytes) -> None:
        """Notes what was accepted before a proposal was made."""
        self._proposed_after[payload] = self.last_committed

    def saw_snapshot(
        self, node: consensus_node.Node, log_index: int, digest: int
    ) -> None:
        """Checks that a snapshot holds the committed entries."""
        if log_index < node.applied_index:
            raise ViolationError(f"{node.name} goes back to entry {log_index}")
        if self.digests.get(log_index) != digest:
            raise ViolationError(
                f"snapshot at {log_index} is not what was accepted"
            )

    def saw_accepted(
        self,
        nodes: list[consensus_node.Node],
        node: consensus_node.Node,
        one: entry_module.Entry,
    ) -> None:
        """Checks that an entry is on a quorum of disks when it is accepted."""
        assert node.replica is not None
        members = node.replica.journal.members
        holders = [x.disk.replica_id for x in nodes if x.disk.holds(one)]
        if not members.has_quorum(holders):
            raise ViolationError(
                f"entry {one.log_index} accepted, only on {holders}"
            )

    def saw_appended(self, entries: tuple[entry_module.Entry, ...]) -> None:
        """Checks that index and term determine an entry."""
        for one in entries:
            key = (one.log_index, one.term)
            value = (int(one.kind), one.payload)
            if self._entries.setdefault(key, value) != value:
                raise ViolationError(f"two entries {key}")

    def check(self, nodes: list[consensus_node.Node], now_s: float) -> None:
        """Checks leaders and leases at one moment."""
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
            if replica.has_valid_lease(node.local_s(now_s)):
                holders.append(node)
        if len(holders) > 1:
            raise ViolationError(f"leases held by {[x.name for x in holders]}")
        for node in holders:
            self._check_lease(node)

    def _check_order(self, one: entry_module.Entry) -> None:
        if one.kind is not entry_module.EntryKind.COMMAND:
            return
        after_index = self._proposed_after.pop(one.payload, None)
        if after_index is None:
            raise ViolationError(f"{one.payload!r} accepted twice")
        if one.log_index <= after_index:
            raise ViolationError(f"{one.payload!r} accepted out of order")

    def _check_new_leader(self, node: consensus_node.Node, term: int) -> None:
        assert node.replica is not None
        identity = node.replica.replica_id
        if self._leaders.setdefault(term, identity) != identity:
            raise ViolationError(f"two leaders in term {term}")
        log = node.replica.journal.log
        last_index = self._last_committed_before(term)
        if last_index < log.first_index:
            return
        if log.term_at(last_index) != self.committed[last_index].term:
            raise ViolationError(
                f"{node.name} leads without entry {last_index}"
            )

    def _last_committed_before(self, term: int) -> int:
        # A late vote may still elect a leader of a term that is over; it
        # need not have what later terms accepted.
        for index in range(self.last_committed, 0, -1):
            if self._commit_terms[index] < term:
                return index
        return 0

    def _check_lease(self, node: consensus_node.Node) -> None:
        assert node.replica is not None
        commit_index = node.replica.journal.commit_index
        if commit_index < self.last_committed:
            raise ViolationError(
                f"{node.name} holds the lease at {commit_index},"
                f" accepted is {self.last_committed}"
            )


def digest_of(digest: int, one: entry_module.Entry) -> int:
    """The state machine's state after an entry, as a checksum."""
    return zlib.crc32(
        b"%d:%d:" % (one.log_index, one.term) + one.payload, digest
    )
