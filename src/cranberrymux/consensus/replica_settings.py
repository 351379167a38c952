"""Timing and size limits of a replica."""

from typing import NamedTuple


class ReplicaSettings(NamedTuple):
    """Settings of one replica; all members use the same values.

    Attributes:
        heartbeat_s: Interval of a leader's messages to each member.
        lease_s: How long a member votes for no other replica after a message
            of its leader, and the shortest election timeout.
        election_spread_s: Width of the range of election timeouts, which are
            drawn uniformly from `lease_s` on.
        disk_stall_s: How long a leader keeps leading while its own disk
            finishes no write; then it steps down and another is elected.
        clock_drift_ratio: Largest relative error of the rate of any member's
            clock, from 0 to below 1.
        max_entry_bytes: Largest payload of one entry.
        max_append_bytes: Most payload bytes in one append message; a single
            larger entry is still sent.
        max_append_entries: Most entries in one append message.
        max_in_flight: Most unanswered append messages to one member.
        max_uncommitted_entries: Most entries that a leader holds without a
            quorum's confirmation.
        max_uncommitted_bytes: Most payload bytes of those entries.
        snapshot_entries: Applied entries since the last snapshot at which a
            new one is requested.
        snapshot_log_bytes: Payload bytes of applied entries since the last
            snapshot at which a new one is requested; if that snapshot is
            larger, its size takes their place.
        retained_entries: Entries before a snapshot that stay in the log, so
            that slow members need no snapshot.
        retained_log_bytes: Most payload bytes of those entries.
        chunk_bytes: Most snapshot bytes in one message.
        max_snapshot_bytes: Largest snapshot accepted from a leader.
        promotion_lag_entries: Most committed entries that a learner may lack
            when it is promoted.
    """

    heartbeat_s: float = 0.15
    lease_s: float = 0.75
    election_spread_s: float = 0.75
    disk_stall_s: float = 2.0
    clock_drift_ratio: float = 0.01
    max_entry_bytes: int = 1 << 20
    max_append_bytes: int = 1 << 18
    max_append_entries: int = 512
    max_in_flight: int = 4
    max_uncommitted_entries: int = 8192
    max_uncommitted_bytes: int = 1 << 24
    snapshot_entries: int = 10_000
    snapshot_log_bytes: int = 1 << 23
    retained_entries: int = 1_000
    retained_log_bytes: int = 1 << 22
    chunk_bytes: int = 1 << 18
    max_snapshot_bytes: int = 1 << 28
    promotion_lag_entries: int = 64

    @property
    def leader_lease_s(self) -> float:
        """Length of the lease on the leader's clock.

        Shorter than `lease_s`: a member counts `lease_s` on a clock that may
        run fast, while the leader's clock may run slow.
        """
        drift = self.clock_drift_ratio
        return self.lease_s * (1 - drift) / (1 + drift)
