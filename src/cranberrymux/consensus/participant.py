"""How a replica takes messages, ticks and the end of writes."""

import random

from cranberrymux.consensus import disk_stall_detector
from cranberrymux.consensus import effects
from cranberrymux.consensus import election as election_module
from cranberrymux.consensus import follower as follower_module
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import leader as leader_module
from cranberrymux.consensus import lifecycle
from cranberrymux.consensus import messages
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import role as role_module

_FROM_LEADER = (messages.AppendRequest, messages.SnapshotChunk)


class Participant:
    """A member of the replicated log, without its callers' side.

    It has no clock, sockets or disk: time, messages and the end of writes are
    handed in, and each call returns what is to be done. `now_s` comes from
    one monotonic clock that also counts while the instance sleeps.
    """

    election_class = election_module.Election
    follower_class = follower_module.Follower
    leader_class = leader_module.Leader
    journal_class = journal_module.Journal

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        generator: random.Random,
        restored: restored_state.RestoredState,
        now_s: float,
    ) -> None:
        """Starts from the durable state, as a follower or learner."""
        self._settings = settings
        self._journal = self.journal_class(settings, restored)
        self._election = self.election_class(
            settings, generator, self._journal, now_s
        )
        self._follower = self.follower_class(settings, self._journal)
        self._leader: leader_module.Leader | None = None
        self._leader_hint = ""
        self._heard_at_s: dict[str, float] = {}
        self._disk = disk_stall_detector.DiskStallDetector(
            settings.disk_stall_s
        )
        self._role_holder = lifecycle.RoleHolder()
        self._lifecycle = lifecycle.build(self._role_holder)
        self._settle_role(now_s)

    @property
    def replica_id(self) -> str:
        """This replica's identity, `name@incarnation`."""
        return self._journal.replica_id

    @property
    def role(self) -> role_module.Role:
        """What this replica does."""
        return self._role_holder.role

    @property
    def leader_hint(self) -> str:
        """Replica id of the leader; empty if unknown."""
        return self._leader_hint

    @property
    def journal(self) -> journal_module.Journal:
        """Term, log and membership; to be read only."""
        return self._journal

    def tick(self, now_s: float) -> effects.Effects:
        """Lets time pass; to be called several times per heartbeat."""
        if self._leader is not None:
            if self._may_lead_on(now_s, self._leader):
                self._leader.tick(now_s)
            else:
                self._follow(now_s, "")
        elif self._may_stand(now_s):
            self._leader_hint = ""
            self._lifecycle.time_out()
            self._election.ask_pre_votes(now_s)
            self._count_votes(now_s)
        return self._end(now_s)

    def disk_done(self, now_s: float, write_id: int) -> effects.Effects:
        """Learns that a write and all before it are durable."""
        self._journal.note_synced(write_id)
        self._disk.note_write_completed()
        if self.role is role_module.Role.CANDIDATE:
            self._election.note_sync()
            self._count_votes(now_s)
        return self._end(now_s)

    def step(self, now_s: float, message: messages.Message) -> effects.Effects:
        """Takes a message; those for others or other clusters are dropped."""
        if self._is_for_us(message):
            self._heard_at_s[message.sender] = now_s
            self._receive(now_s, message)
        return self._end(now_s)

    def _may_lead_on(self, now_s: float, leader: leader_module.Leader) -> bool:
        return leader.has_contact(now_s) and not self._disk.is_stalled(now_s)

    def _may_stand(self, now_s: float) -> bool:
        return (
            self.role is not role_module.Role.LEARNER
            and self._election.is_due(now_s)
            and not self._disk.is_stalled(now_s)
        )

    def _is_for_us(self, message: messages.Message) -> bool:
        cluster_id = self._journal.members.cluster_id
        if message.recipient != self.replica_id:
            return False
        return not cluster_id or message.cluster_id == cluster_id

    def _receive(self, now_s: float, message: messages.Message) -> None:
        if isinstance(message, messages.VoteRequest):
            self._take_vote_request(now_s, message)
        elif isinstance(message, _FROM_LEADER):
            self._take_from_leader(now_s, message)
        else:
            self._take_answer(now_s, message)

    def _take_vote_request(
        self, now_s: float, request: messages.VoteRequest
    ) -> None:
        if self._withholds_vote(now_s):
            self._election.refuse(request)
            return
        if not request.pre_vote and request.term > self._journal.term:
            self._raise_term(now_s, request.term)
        self._election.answer(now_s, request)

    def _withholds_vote(self, now_s: float) -> bool:
        # A leader is bound like a follower while its quorum is.
        if self._leader is not None and now_s < self._leader.lease_until_s():
            return True
        return self._election.is_promised(now_s)

    def _take_from_leader(
        self,
        now_s: float,
        message: messages.AppendRequest | messages.SnapshotChunk,
    ) -> None:
        if message.term > self._journal.term:
            self._raise_term(now_s, message.term)
        if message.term == self._journal.term:
            if self._leader is not None:
                raise invariant_error.InvariantError(
                    f"{message.sender} leads in term {message.term} too"
                )
            if self._leader_hint != message.sender:
                self._follow(now_s, message.sender)
            self._election.promise(now_s)
        self._follower.take(message)

    def _take_answer(
        self,
        now_s: float,
        answer: messages.VoteAnswer
        | messages.AppendAnswer
        | messages.SnapshotAnswer,
    ) -> None:
        if isinstance(answer, messages.VoteAnswer):
            self._take_vote(now_s, answer)
            return
        if answer.term > self._journal.term:
            self._raise_term(now_s, answer.term)
        if self._leader is None or answer.term != self._journal.term:
            return
        if isinstance(answer, messages.AppendAnswer):
            self._leader.take_append_answer(now_s, answer)
        else:
            self._leader.take_snapshot_answer(now_s, answer)

    def _take_vote(self, now_s: float, answer: messages.VoteAnswer) -> None:
        if not answer.granted:
            if answer.term > self._journal.term:
                self._raise_term(now_s, answer.term)
            return
        stands_in = self._journal.term + (1 if answer.pre_vote else 0)
        asked = (
            role_module.Role.PRE_CANDIDATE
            if answer.pre_vote
            else role_module.Role.CANDIDATE
        )
        if self.role is asked and answer.term == stands_in:
            self._election.note_grant(answer.sender)
            self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> None:
        if not self._election.is_won():
            return
        if self.role is role_module.Role.PRE_CANDIDATE:
            self._lifecycle.win_pre_vote()
            self._election.stand(now_s)
        elif self.role is role_module.Role.CANDIDATE:
            self._lifecycle.win_vote()
            self._leader_hint = self.replica_id
            self._leader = self.leader_class(
                self._settings, self._journal, now_s
            )

    def _raise_term(self, now_s: float, term: int) -> None:
        self._journal.set_term(term)
        self._follow(now_s, "")

    def _follow(self, now_s: float, leader_id: str) -> None:
        self._lifecycle.follow()
        if self._leader is not None:
            self._leader = None
            self._election.wait(now_s)
        self._leader_hint = leader_id

    def _settle_role(self, now_s: float) -> None:
        takes_part = self._takes_part()
        if takes_part and self.role is role_module.Role.LEARNER:
            self._lifecycle.promote()
            self._election.wait(now_s)
        elif not takes_part and self.role is not role_module.Role.LEARNER:
            self._lifecycle.demote()
            if self._leader is not None:
                self._leader = None
                self._leader_hint = ""

    def _takes_part(self) -> bool:
        # Until a voter's removal is committed, its log may be the only one
        # that can win an election. Its own vote does not count then.
        journal = self._journal
        if journal.replica_id in journal.voters:
            return True
        return (
            journal.members_index > journal.commit_index
            and journal.replica_id in journal.previous_voters
        )

    def _end(self, now_s: float) -> effects.Effects:
        if self._leader is not None:
            self._leader.advance_commit(now_s)
        self._settle_role(now_s)
        result = self._journal.take_effects()
        self._disk.note_queue_state(now_s, self._journal.is_idle())
        return result
