"""Votes: when to stand, when to give one, and the promise not to."""

import math
import random

from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import replica_settings


class Election:
    """A replica's election timer, its promise to a leader, and its votes."""

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        generator: random.Random,
        journal: journal_module.Journal,
        now_s: float,
    ) -> None:
        """Begins with a promise, since one may have been given before."""
        self._settings = settings
        self._generator = generator
        self._journal = journal
        self._promise_until_s = now_s + settings.lease_s
        self._deadline_s = -math.inf
        self._granted: set[str] = set()
        self._own_vote_write_id = 0
        self.wait(now_s)

    @property
    def deadline_s(self) -> float:
        """When the replica stands for election if nothing is heard."""
        return self._deadline_s

    def wait(self, now_s: float) -> None:
        """Starts the election timer again."""
        spread_s = self._generator.random() * self._settings.election_spread_s
        self._deadline_s = now_s + self._settings.lease_s + spread_s

    def promise(self, now_s: float) -> None:
        """Gives no vote for the lease time, since a leader was heard."""
        self._promise_until_s = now_s + self._settings.lease_s
        self.wait(now_s)

    def is_promised(self, now_s: float) -> bool:
        """True while no vote may be given."""
        return now_s < self._promise_until_s

    def is_due(self, now_s: float) -> bool:
        """True if the replica may and should stand for election."""
        return now_s >= self._deadline_s and not self.is_promised(now_s)

    def ask_pre_votes(self, now_s: float) -> None:
        """Asks every voter whether it would give its vote."""
        self._retry_later(now_s)
        self._granted = {self._journal.replica_id}
        for request in self._requests(self._journal.term + 1, True):
            self._journal.send(request)

    def stand(self, now_s: float) -> None:
        """Opens a new term, votes for itself, and asks for votes."""
        self._retry_later(now_s)
        self._granted = set()
        self._journal.set_term(self._journal.term + 1, self._journal.replica_id)
        self._own_vote_write_id = self._journal.last_write_id()
        for request in self._requests(self._journal.term, False):
            self._journal.send_durable(request)

    def note_sync(self) -> None:
        """Counts the candidate's own vote once it is durable."""
        if self._journal.is_synced(self._own_vote_write_id):
            self._granted.add(self._journal.replica_id)

    def note_grant(self, replica_id: str) -> None:
        """Counts a vote."""
        self._granted.add(replica_id)

    def is_won(self) -> bool:
        """True if a quorum of voters has granted."""
        return self._journal.members.has_quorum(self._granted)

    def refuse(self, request: messages.VoteRequest) -> None:
        """Refuses a vote."""
        self._send_answer(request, False)

    def answer(self, now_s: float, request: messages.VoteRequest) -> None:
        """Gives or refuses a vote; the term was raised if need be."""
        granted = self._may_grant(request)
        if granted and not request.pre_vote:
            if self._journal.voted_for != request.sender:
                self._journal.set_term(request.term, request.sender)
            self.wait(now_s)
        self._send_answer(request, granted)

    def _send_answer(
        self, request: messages.VoteRequest, granted: bool
    ) -> None:
        self._journal.send_durable(
            messages.VoteAnswer(
                request.cluster_id,
                self._journal.replica_id,
                request.sender,
                request.term if granted else self._journal.term,
                request.pre_vote,
                granted,
            )
        )

    def _may_grant(self, request: messages.VoteRequest) -> bool:
        journal = self._journal
        if not journal.log.is_up_to_date(request.last_index, request.last_term):
            return False
        if request.pre_vote:
            return request.term > journal.term
        return request.term == journal.term and journal.voted_for in (
            "",
            request.sender,
        )

    def _retry_later(self, now_s: float) -> None:
        spread_s = self._generator.random() * self._settings.election_spread_s
        self._deadline_s = now_s + self._settings.lease_s / 3 + spread_s

    def _requests(
        self, term: int, pre_vote: bool
    ) -> list[messages.VoteRequest]:
        journal = self._journal
        return [
            messages.VoteRequest(
                journal.members.cluster_id,
                journal.replica_id,
                replica_id,
                term,
                pre_vote,
                journal.log.last_index,
                journal.log.last_term,
            )
            for replica_id in sorted(journal.members.voters)
            if replica_id != journal.replica_id
        ]
