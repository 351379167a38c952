"""A replica's part in the consensus protocol: messages, time and writes."""

import random

from cranberrymux.consensus import disk_stall_detector
from cranberrymux.consensus import effects
from cranberrymux.consensus import election as election_module
from cranberrymux.consensus import follower as follower_module
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import leader as leader_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import role as role_module
from cranberrymux.consensus import role_machine

_LEADER_MESSAGES = (messages.AppendRequest, messages.SnapshotChunk)


class Participant:
    """The protocol part of a replica; `Replica` adds proposals and reads.

    It uses no clock, socket or disk: callers pass in the time, received
    messages and finished writes, and each call returns the effects to carry
    out. `now_s` is in seconds from one monotonic clock that also counts while
    the instance is suspended.
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
        """Starts from the restored state, as a follower or learner."""
        self._settings = settings
        self._journal = self.journal_class(settings, restored)
        self._election = self.election_class(
            settings, generator, self._journal, now_s
        )
        self._follower = self.follower_class(settings, self._journal)
        self._leader: leader_module.Leader | None = None
        self._leader_hint = ""
        self._heard_at_s: dict[str, float] = {}
        self._stall_detector = disk_stall_detector.DiskStallDetector(
            settings.disk_stall_s
        )
        self._role_state = role_machine.RoleState()
        self._role_machine = role_machine.build(self._role_state)
        self._update_role(now_s)

    @property
    def replica_id(self) -> str:
        """This replica's identity, `name@incarnation`."""
        return self._journal.replica_id

    @property
    def role(self) -> role_module.Role:
        """Role in the present term."""
        return self._role_state.role

    @property
    def leader_hint(self) -> str:
        """Replica id of the leader; empty if unknown."""
        return self._leader_hint

    @property
    def journal(self) -> journal_module.Journal:
        """Term, log and membership; to be read only."""
        return self._journal

    def tick(self, now_s: float) -> effects.Effects:
        """Handles timeouts; to be called several times per heartbeat."""
        if self._leader is not None:
            if self._may_keep_leading(now_s, self._leader):
                self._leader.tick(now_s)
            else:
                self._follow(now_s, "")
        elif self._may_start_election(now_s):
            self._leader_hint = ""
            self._role_machine.time_out()
            self._election.request_pre_votes(now_s)
            self._check_votes(now_s)
        return self._finish_step(now_s)

    def note_synced(self, now_s: float, write_id: int) -> effects.Effects:
        """Notes that a write and all writes before it are durable."""
        self._journal.note_synced(write_id)
        self._stall_detector.note_write_completed()
        if self.role is role_module.Role.CANDIDATE:
            self._election.count_own_vote()
            self._check_votes(now_s)
        return self._finish_step(now_s)

    def note_disk_full(self) -> None:
        """Notes that the disk has no room for a write.

        Until that is durable this replica does not lead, stand for election or
        confirm anything: others commit without it.
        """
        self._stall_detector.note_full()

    def step(self, now_s: float, message: messages.Message) -> effects.Effects:
        """Handles a message; drops it if meant for others or other clusters."""
        if self._is_for_this_replica(message):
            self._heard_at_s[message.sender] = now_s
            self._handle_message(now_s, message)
        return self._finish_step(now_s)

    def _may_keep_leading(
        self, now_s: float, leader: leader_module.Leader
    ) -> bool:
        return leader.has_quorum_contact(
            now_s
        ) and not self._stall_detector.is_stalled(now_s)

    def _may_start_election(self, now_s: float) -> bool:
        return (
            self.role is not role_module.Role.LEARNER
            and self._election.is_due(now_s)
            and not self._stall_detector.is_stalled(now_s)
        )

    def _is_for_this_replica(self, message: messages.Message) -> bool:
        cluster_id = self._journal.membership.cluster_id
        if message.recipient != self.replica_id:
            return False
        return not cluster_id or message.cluster_id == cluster_id

    def _handle_message(self, now_s: float, message: messages.Message) -> None:
        if isinstance(message, messages.VoteRequest):
            self._handle_vote_request(now_s, message)
        elif isinstance(message, _LEADER_MESSAGES):
            self._handle_leader_message(now_s, message)
        else:
            self._handle_answer(now_s, message)

    def _handle_vote_request(
        self, now_s: float, request: messages.VoteRequest
    ) -> None:
        if self._withholds_vote(now_s):
            self._election.refuse(request)
            return
        if not request.pre_vote and request.term > self._journal.term:
            self._raise_term(now_s, request.term)
        self._election.answer(now_s, request)

    def _withholds_vote(self, now_s: float) -> bool:
        # A leader gives no vote as long as its quorum may not give one.
        if self._leader is not None and now_s < self._leader.lease_until_s():
            return True
        return self._election.is_lease_granted(now_s)

    def _handle_leader_message(
        self,
        now_s: float,
        message: messages.AppendRequest | messages.SnapshotChunk,
    ) -> None:
        if message.term > self._journal.term:
            self._raise_term(now_s, message.term)
        if message.term == self._journal.term:
            if self._leader is not None:
                raise invariant_error.InvariantError(
                    f"{message.sender} also leads in term {message.term}"
                )
            if self._leader_hint != message.sender:
                self._follow(now_s, message.sender)
            self._election.grant_lease(now_s)
        self._follower.handle_message(message)

    def _handle_answer(
        self,
        now_s: float,
        answer: messages.VoteAnswer
        | messages.AppendAnswer
        | messages.SnapshotAnswer,
    ) -> None:
        if isinstance(answer, messages.VoteAnswer):
            self._handle_vote(now_s, answer)
            return
        if answer.term > self._journal.term:
            self._raise_term(now_s, answer.term)
        if self._leader is None or answer.term != self._journal.term:
            return
        if isinstance(answer, messages.AppendAnswer):
            self._leader.handle_append_answer(now_s, answer)
        else:
            self._leader.handle_snapshot_answer(now_s, answer)

    def _handle_vote(self, now_s: float, answer: messages.VoteAnswer) -> None:
        if not answer.granted:
            if answer.term > self._journal.term:
                self._raise_term(now_s, answer.term)
            return
        expected_term = self._journal.term + (1 if answer.pre_vote else 0)
        expected_role = (
            role_module.Role.PRE_CANDIDATE
            if answer.pre_vote
            else role_module.Role.CANDIDATE
        )
        if self.role is expected_role and answer.term == expected_term:
            self._election.count_vote(answer.sender)
            self._check_votes(now_s)

    def _check_votes(self, now_s: float) -> None:
        if not self._election.is_won():
            return
        if self.role is role_module.Role.PRE_CANDIDATE:
            self._role_machine.win_pre_vote()
            self._election.start_election(now_s)
        elif self.role is role_module.Role.CANDIDATE:
            self._role_machine.win_vote()
            self._leader_hint = self.replica_id
            self._leader = self.leader_class(
                self._settings, self._journal, now_s
            )

    def _raise_term(self, now_s: float, term: int) -> None:
        self._journal.set_term(term)
        self._follow(now_s, "")

    def _follow(self, now_s: float, leader_id: str) -> None:
        self._role_machine.follow()
        if self._leader is not None:
            self._leader = None
            self._election.restart_timer(now_s)
        self._leader_hint = leader_id

    def _update_role(self, now_s: float) -> None:
        acts_as_voter = self._acts_as_voter()
        if acts_as_voter and self.role is role_module.Role.LEARNER:
            self._role_machine.promote()
            self._election.restart_timer(now_s)
        elif not acts_as_voter and self.role is not role_module.Role.LEARNER:
            self._role_machine.demote()
            if self._leader is not None:
                self._leader = None
                self._leader_hint = ""

    def _acts_as_voter(self) -> bool:
        # Until the removal of a voter is committed, its log may be the only
        # one that is up to date enough to win an election. Its own vote does
        # not count in that election.
        journal = self._journal
        if journal.replica_id in journal.voters:
            return True
        return (
            journal.membership_index > journal.commit_index
            and journal.replica_id in journal.previous_voters
        )

    def _finish_step(self, now_s: float) -> effects.Effects:
        if self._leader is not None:
            self._leader.advance_commit(now_s)
        self._update_role(now_s)
        step_effects = self._journal.take_effects()
        self._stall_detector.note_queue_state(now_s, self._journal.is_idle())
        return step_effects
