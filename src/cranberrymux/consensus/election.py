"""Election timer, votes, and the lease that a replica grants a leader."""

import math
import random

from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import messages
from cranberrymux.consensus import replica_settings


class Election:
    """Decides when a replica starts an election and for whom it votes.

    A replica that hears from a leader grants it a lease: until the lease ends,
    it votes for no other replica.
    """

    def __init__(
        self,
        settings: replica_settings.ReplicaSettings,
        generator: random.Random,
        journal: journal_module.Journal,
        now_s: float,
    ) -> None:
        """Starts with a lease granted, as one may precede the restart."""
        self._settings = settings
        self._generator = generator
        self._journal = journal
        self._lease_granted_until_s = now_s + settings.lease_s
        self._deadline_s = -math.inf
        self._votes: set[str] = set()
        self._own_vote_write_id = 0
        self.restart_timer(now_s)

    @property
    def deadline_s(self) -> float:
        """When an election starts unless a leader is heard from before."""
        return self._deadline_s

    def restart_timer(self, now_s: float) -> None:
        """Restarts the election timer with a random timeout."""
        delay_s = self._generator.random() * self._settings.election_spread_s
        self._deadline_s = now_s + self._settings.lease_s + delay_s

    def grant_lease(self, now_s: float) -> None:
        """Grants a lease to the leader that was heard from."""
        self._lease_granted_until_s = now_s + self._settings.lease_s
        self.restart_timer(now_s)

    def is_lease_granted(self, now_s: float) -> bool:
        """Returns whether a lease is granted, so that no vote may be given."""
        return now_s < self._lease_granted_until_s

    def is_due(self, now_s: float) -> bool:
        """Returns whether the timer has run out and no lease is granted."""
        return now_s >= self._deadline_s and not self.is_lease_granted(now_s)

    def request_pre_votes(self, now_s: float) -> None:
        """Asks every other voter whether it would vote for this replica."""
        self._schedule_retry(now_s)
        self._votes = {self._journal.replica_id}
        for request in self._vote_requests(self._journal.term + 1, True):
            self._journal.send(request)

    def start_election(self, now_s: float) -> None:
        """Raises the term, votes for this replica, and requests votes."""
        self._schedule_retry(now_s)
        self._votes = set()
        self._journal.set_term(self._journal.term + 1, self._journal.replica_id)
        self._own_vote_write_id = self._journal.last_write_id()
        for request in self._vote_requests(self._journal.term, False):
            self._journal.send_durable(request)

    def count_own_vote(self) -> None:
        """Counts this replica's own vote if it is durable by now."""
        if self._journal.is_synced(self._own_vote_write_id):
            self._votes.add(self._journal.replica_id)

    def count_vote(self, replica_id: str) -> None:
        """Counts a vote or pre-vote that another replica granted."""
        self._votes.add(replica_id)

    def is_won(self) -> bool:
        """Returns whether a quorum of voters has granted its vote."""
        return self._journal.membership.has_quorum(self._votes)

    def refuse(self, request: messages.VoteRequest) -> None:
        """Sends the refusal of a vote or pre-vote."""
        self._send_answer(request, False)

    def answer(self, now_s: float, request: messages.VoteRequest) -> None:
        """Grants or refuses a vote or pre-vote.

        For a vote, this replica's term must not be below the request's term.
        """
        granted = self._may_grant(request)
        if granted and not request.pre_vote:
            if self._journal.voted_for != request.sender:
                self._journal.set_term(request.term, request.sender)
            self.restart_timer(now_s)
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

    def _schedule_retry(self, now_s: float) -> None:
        delay_s = self._generator.random() * self._settings.election_spread_s
        self._deadline_s = now_s + self._settings.lease_s / 3 + delay_s

    def _vote_requests(
        self, term: int, pre_vote: bool
    ) -> list[messages.VoteRequest]:
        journal = self._journal
        return [
            messages.VoteRequest(
                journal.membership.cluster_id,
                journal.replica_id,
                replica_id,
                term,
                pre_vote,
                journal.log.last_index,
                journal.log.last_term,
            )
            for replica_id in sorted(journal.membership.voters)
            if replica_id != journal.replica_id
        ]
