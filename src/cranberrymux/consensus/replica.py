"""A replica of the log: proposals, changes of members, and reads."""

from cranberrymux.consensus import effects
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import member_rules
from cranberrymux.consensus import participant
from cranberrymux.consensus import proposal
from cranberrymux.consensus import refusals
from cranberrymux.consensus import status as status_module


class Replica(participant.Participant):
    """A participant in the protocol that takes proposals and changes.

    It uses no clock, socket or disk: callers pass in the time, received
    messages and finished writes, and each call returns the effects to carry
    out. `now_s` is in seconds from one monotonic clock that also counts while
    the instance is suspended.
    """

    def silent_voters(self, now_s: float, limit_s: float) -> tuple[str, ...]:
        """Returns the other voters not heard from within the limit, sorted.

        A leader measures the time from its election at the earliest.
        """
        if self._leader is None:
            return member_rules.silent_voters(
                self._journal, self._heard_at_s, now_s, limit_s
            )
        return tuple(
            voter_id
            for voter_id in sorted(self._journal.membership.voters)
            if voter_id != self.replica_id
            and self._leader.silent_s(now_s, voter_id) > limit_s
        )

    def silent_learners(self, now_s: float, limit_s: float) -> tuple[str, ...]:
        """Returns the learners not heard from within the limit, if it leads."""
        if self._leader is None:
            return ()
        return tuple(
            member.replica_id
            for member in self._journal.membership.members
            if not member.voter
            and self._leader.silent_s(now_s, member.replica_id) > limit_s
        )

    def status(self, now_s: float) -> status_module.Status:
        """Returns the present state for operators and health checks."""
        silent_voters = self.silent_voters(now_s, 2 * self._settings.lease_s)
        if self._leader is not None:
            quorum_heard = self._leader.has_quorum_contact(now_s)
        else:
            quorum_heard = self._election.is_lease_granted(now_s) and bool(
                self._leader_hint
            )
        return status_module.Status(
            self.replica_id,
            self.role,
            self._journal.term,
            self._leader_hint,
            self._journal.membership,
            self._journal.commit_index,
            self._journal.applied_index,
            self._journal.durable_index,
            self._journal.log.last_index,
            silent_voters,
            quorum_heard,
        )

    def lease_until_s(self, now_s: float) -> float | None:
        """Returns when the leader lease ends, on this clock, or None.

        None means that this replica does not lead, has not yet committed an
        entry of its own term, or that its lease has ended.
        """
        if self._leader is None or not self._leader.has_committed:
            return None
        until_s = self._leader.lease_until_s()
        return until_s if now_s < until_s else None

    def has_valid_lease(self, now_s: float) -> bool:
        """Returns whether no other replica can have committed a newer entry.

        If so, reads of the state machine are up to date once `applied_index`
        has reached `commit_index`.
        """
        return self.lease_until_s(now_s) is not None

    def found_cluster(
        self, now_s: float, cluster_id: str, address: str
    ) -> effects.Effects | refusals.ProposalRefused:
        """Founds a cluster with this replica as its only member.

        Args:
            now_s: Present time on the replica's monotonic clock, seconds.
            cluster_id: A new unique id; messages with another id are dropped.
            address: `ip:port` that other members connect to.
        """
        if not member_rules.may_found(self._journal):
            return refusals.ProposalRefused(
                refusals.RefusalReason.ALREADY_DONE,
                "this replica already holds a log or a vote",
            )
        self._journal.set_term(member_rules.FOUNDING_TERM, self.replica_id)
        self._journal.append(
            (member_rules.founding_entry(self.replica_id, cluster_id, address),)
        )
        return self._finish_step(now_s)

    def propose(
        self, now_s: float, payload: bytes
    ) -> proposal.Proposal | refusals.NotLeader | refusals.ProposalRefused:
        """Appends a command to the log if this replica leads."""
        if self._leader is None:
            return self._not_leader()
        if len(payload) > self._settings.max_entry_bytes:
            return refusals.ProposalRefused(
                refusals.RefusalReason.TOO_LARGE,
                f"payload of {len(payload)} bytes, limit"
                f" {self._settings.max_entry_bytes}",
            )
        if not self._leader.has_room(len(payload)):
            return refusals.ProposalRefused(
                refusals.RefusalReason.BACKLOG_FULL,
                f"{self._leader.uncommitted_entries} uncommitted entries",
            )
        return self._append(now_s, entry_module.EntryKind.COMMAND, payload)

    def change_members(
        self, now_s: float, change: member_change.MemberChange
    ) -> proposal.Proposal | refusals.NotLeader | refusals.ProposalRefused:
        """Appends a change of members; it is in force before its commit."""
        if self._leader is None:
            return self._not_leader()
        payload = member_rules.validate_change(
            self._settings, self._journal, self._leader, now_s, change
        )
        if isinstance(payload, refusals.ProposalRefused):
            return payload
        return self._append(now_s, entry_module.EntryKind.MEMBERSHIP, payload)

    def change_refusal(
        self, now_s: float, change: member_change.MemberChange
    ) -> refusals.NotLeader | refusals.ProposalRefused | None:
        """Returns why `change_members` would refuse a change, or None."""
        if self._leader is None:
            return self._not_leader()
        payload = member_rules.validate_change(
            self._settings, self._journal, self._leader, now_s, change
        )
        return None if isinstance(payload, bytes) else payload

    def store_snapshot(
        self, now_s: float, index: int, data: bytes
    ) -> effects.Effects:
        """Stores the state machine's snapshot as of an applied entry.

        Args:
            now_s: Present time on the replica's monotonic clock, seconds.
            index: Index of the last entry that the snapshot covers.
            data: The encoded state of the state machine.
        """
        self._journal.compact(index, data)
        return self._finish_step(now_s)

    def _append(
        self, now_s: float, kind: entry_module.EntryKind, payload: bytes
    ) -> proposal.Proposal:
        assert self._leader is not None
        index = self._leader.append(kind, payload)
        self._leader.send_all(now_s, False)
        return proposal.Proposal(
            index, self._journal.term, self._finish_step(now_s)
        )

    def _not_leader(self) -> refusals.NotLeader:
        if not self._journal.membership.members:
            reason = refusals.NotLeaderReason.NOT_A_MEMBER
        elif self._leader_hint:
            reason = refusals.NotLeaderReason.FOLLOWING
        else:
            reason = refusals.NotLeaderReason.ELECTING
        return refusals.NotLeader(reason, self._leader_hint)
