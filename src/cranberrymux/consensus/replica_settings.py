"""Times and bounds of a replica."""

from typing import NamedTuple


class ReplicaSettings(NamedTuple):
    """Settings of one replica; all members use the same.

    Attributes:
        heartbeat_s: Time between a leader's messages to each member.
        lease_s: How long a member that heard from its leader gives no vote,
            and the least time before it stands for election itself.
        election_spread_s: Election timeouts lie evenly between `lease_s` and
            this much more.
        disk_stall_s: How long a leader goes on while its own disk does not
            finish a write; then another one is elected.
        clock_drift_ratio: Greatest error of the rate of any member's clock.
        max_entry_bytes: Greatest payload.
        max_append_bytes: Payload bytes in one append message.
        max_append_entries: Entries in one append message.
        max_in_flight: Append messages to one member not yet answered.
        max_uncommitted_entries: Entries a leader takes before the quorum
            has confirmed them.
        max_uncommitted_bytes: Payload bytes of those.
        snapshot_entries: Applied entries since the last snapshot at which a
            new one is wanted.
        snapshot_log_bytes: The same, for payload bytes of those entries.
        retained_entries: Entries kept below a snapshot for slow members.
        chunk_bytes: Snapshot bytes in one message.
        max_snapshot_bytes: Greatest snapshot.
        promotion_lag_entries: Greatest lag at which a learner may be promoted.
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
    max_uncommitted_bytes: int = 1 << 26
    snapshot_entries: int = 10_000
    snapshot_log_bytes: int = 1 << 26
    retained_entries: int = 1_000
    chunk_bytes: int = 1 << 18
    max_snapshot_bytes: int = 1 << 28
    promotion_lag_entries: int = 64

    @property
    def leader_lease_s(self) -> float:
        """The lease as a leader counts it on its own clock.

        A member waits `lease_s` on a clock that may run fast, the leader
        counts on one that may run slow.
        """
        drift = self.clock_drift_ratio
        return self.lease_s * (1 - drift) / (1 + drift)
