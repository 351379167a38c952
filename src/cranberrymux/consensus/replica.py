"""One replica of the log, with what its callers ask of it."""

from cranberrymux.consensus import effects
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import member_rules
from cranberrymux.consensus import participant
from cranberrymux.consensus import proposal
from cranberrymux.consensus import refusals
from cranberrymux.consensus import status as status_module


class Replica(participant.Participant):
    """A member of the replicated log.

    It has no clock, sockets or disk: time, messages and the end of writes are
    handed in, and each call returns what is to be done. `now_s` comes from
    one monotonic clock that also counts while the instance sleeps.
    """

    def silent_voters(self, now_s: float, limit_s: float) -> tuple[str, ...]:
        """Other voters that this replica has not heard within the limit.

        A leader counts from the beginning of its lead at the earliest.
        """
        if self._leader is None:
            return member_rules.silent_voters(
                self._journal, self._heard_at_s, now_s, limit_s
            )
        return tuple(
            one
            for one in sorted(self._journal.members.voters)
            if one != self.replica_id
            and self._leader.silent_s(now_s, one) > limit_s
        )

    def status(self, now_s: float) -> status_module.Status:
        """What operators want to know."""
        silent = self.silent_voters(now_s, 2 * self._settings.lease_s)
        if self._leader is not None:
            quorum_heard = self._leader.has_contact(now_s)
        else:
            quorum_heard = self._election.is_promised(now_s) and bool(
                self._leader_hint
            )
        return status_module.Status(
            self.replica_id,
            self.role,
            self._journal.term,
            self._leader_hint,
            self._journal.members,
            self._journal.commit_index,
            self._journal.applied_index,
            self._journal.durable_index,
            self._journal.log.last_index,
            silent,
            quorum_heard,
        )

    def lease_until_s(self, now_s: float) -> float | None:
        """End of the leader lease on this clock; None if there is none."""
        if self._leader is None or not self._leader.has_committed:
            return None
        until_s = self._leader.lease_until_s()
        return until_s if now_s < until_s else None

    def lease_valid(self, now_s: float) -> bool:
        """True if no other replica can have committed anything newer.

        Reads of the state machine are then up to date once `applied_index`
        has reached `commit_index`.
        """
        return self.lease_until_s(now_s) is not None

    def found(
        self, now_s: float, cluster_id: str, address: str
    ) -> effects.Effects | refusals.ProposalRefused:
        """Founds a cluster with this replica as its only member.

        Args:
            now_s: Present time.
            cluster_id: Fresh id; other clusters' messages are dropped.
            address: Where peers reach this replica.
        """
        if not member_rules.holds_nothing(self._journal):
            return refusals.ProposalRefused(
                refusals.RefusalReason.ALREADY_DONE,
                "this replica already holds a log or a vote",
            )
        self._journal.set_term(member_rules.FOUNDING_TERM)
        self._journal.append(
            (member_rules.founding_entry(self.replica_id, cluster_id, address),)
        )
        return self._end(now_s)

    def propose(
        self, now_s: float, payload: bytes
    ) -> proposal.Proposal | refusals.NotLeader | refusals.ProposalRefused:
        """Appends a command to the log, if this replica leads."""
        if self._leader is None:
            return self._not_leader()
        if len(payload) > self._settings.max_entry_bytes:
            return refusals.ProposalRefused(
                refusals.RefusalReason.TOO_LARGE,
                f"{len(payload)} bytes, limit {self._settings.max_entry_bytes}",
            )
        if not self._leader.has_room(len(payload)):
            return refusals.ProposalRefused(
                refusals.RefusalReason.BACKLOG_FULL,
                f"{self._leader.uncommitted_entries} entries wait",
            )
        return self._append(now_s, entry_module.EntryKind.COMMAND, payload)

    def change_members(
        self, now_s: float, change: member_change.MemberChange
    ) -> proposal.Proposal | refusals.NotLeader | refusals.ProposalRefused:
        """Appends a change of members, in force at once."""
        if self._leader is None:
            return self._not_leader()
        payload = member_rules.check(
            self._settings, self._journal, self._leader, now_s, change
        )
        if isinstance(payload, refusals.ProposalRefused):
            return payload
        return self._append(now_s, entry_module.EntryKind.MEMBERSHIP, payload)

    def refuses_change(
        self, now_s: float, change: member_change.MemberChange
    ) -> refusals.NotLeader | refusals.ProposalRefused | None:
        """Why `change_members` would not take a change; None if it would."""
        if self._leader is None:
            return self._not_leader()
        payload = member_rules.check(
            self._settings, self._journal, self._leader, now_s, change
        )
        return None if isinstance(payload, bytes) else payload

    def snapshot_taken(
        self, now_s: float, index: int, data: bytes
    ) -> effects.Effects:
        """Takes the state machine's snapshot of its state at an entry."""
        self._journal.compact(index, data)
        return self._end(now_s)

    def _append(
        self, now_s: float, kind: entry_module.EntryKind, payload: bytes
    ) -> proposal.Proposal:
        assert self._leader is not None
        index = self._leader.append(kind, payload)
        self._leader.send_all(now_s, False)
        return proposal.Proposal(index, self._journal.term, self._end(now_s))

    def _not_leader(self) -> refusals.NotLeader:
        if not self._journal.members.members:
            reason = refusals.NotLeaderReason.NOT_A_MEMBER
        elif self._leader_hint:
            reason = refusals.NotLeaderReason.FOLLOWING
        else:
            reason = refusals.NotLeaderReason.ELECTING
        return refusals.NotLeader(reason, self._leader_hint)
