"""Random schedules of faults that break guarantees of a mutated replica.

Each mutation removes one safety mechanism, such as the sync before an answer.
Some schedule must then violate a guarantee, or the schedules no longer reach
the states in which that mechanism matters.
"""

import pytest

from bench import consensus_checker
from bench import consensus_faults
from bench import consensus_member_scenarios
from bench import consensus_schedule
from bench import consensus_simulated_disk
from cranberrymux.consensus import election
from cranberrymux.consensus import follower
from cranberrymux.consensus import journal
from cranberrymux.consensus import replica


class AcknowledgesBeforeSync(journal.Journal):
    def send_durable(self, message):
        self.send(message)


class CountsOwnUnsyncedEntries(journal.Journal):
    @property
    def durable_index(self):
        return self._log.last_index


class VotesForOlderLog(election.Election):
    def _may_grant(self, request):
        return request.pre_vote or (
            request.term == self._journal.term
            and self._journal.voted_for in ("", request.sender)
        )


class VotesTwiceInTerm(election.Election):
    def _may_grant(self, request):
        return request.term >= self._journal.term and (
            self._journal.log.is_up_to_date(
                request.last_index, request.last_term
            )
        )


class TruncatesWithoutConflict(follower.Follower):
    def _merge_entries(self, request, start_index):
        committed = self._journal.commit_index
        entries = [
            entry for entry in request.entries if entry.log_index > committed
        ]
        if not entries:
            return
        if entries[0].log_index <= self._journal.log.last_index:
            self._journal.truncate(entries[0].log_index)
        self._journal.append(entries)


class CommitsBeyondMatchingEntries(follower.Follower):
    def handle_append_request(self, request):
        super().handle_append_request(request)
        self._journal.commit(request.commit_index)


class KeepsIdentity(consensus_schedule.Schedule):
    def lose_disk(self, node):
        _lose_disk_and_keep_identity(node)


def _mutated_replica(**overrides):
    return type("MutatedReplica", (replica.Replica,), overrides)


ViolationError = consensus_checker.ViolationError
MUTATED_REPLICAS = {
    "acknowledges before the sync": _mutated_replica(
        journal_class=AcknowledgesBeforeSync
    ),
    "counts its own unsynced entries": _mutated_replica(
        journal_class=CountsOwnUnsyncedEntries
    ),
    "votes for a candidate with an older log": _mutated_replica(
        election_class=VotesForOlderLog
    ),
    "votes twice in a term": _mutated_replica(election_class=VotesTwiceInTerm),
    "truncates without a conflict": _mutated_replica(
        follower_class=TruncatesWithoutConflict
    ),
    "commits beyond the matching entries": _mutated_replica(
        follower_class=CommitsBeyondMatchingEntries
    ),
}


@pytest.mark.parametrize("name", MUTATED_REPLICAS)
def test_schedules_find_violation_of_mutated_replica(name):
    assert _first_violation(MUTATED_REPLICAS[name])


def _lose_disk(node):
    node.lose_disk()


def _lose_disk_and_keep_identity(node):
    node.disk = consensus_simulated_disk.SimulatedDisk(node.disk.replica_id)


def test_lost_disk_with_new_identity_keeps_guarantees():
    consensus_member_scenarios.lost_disk(_lose_disk)


def test_lost_disk_with_old_identity_violates_guarantee():
    with pytest.raises(ViolationError):
        consensus_member_scenarios.lost_disk(_lose_disk_and_keep_identity)


def test_schedules_find_violation_of_old_identity_after_lost_disk():
    faults = consensus_faults.Faults(lose_disk=6)
    results = (KeepsIdentity(seed, faults=faults).run() for seed in range(40))
    assert any(result.violation for result in results)


def _first_violation(replica_class):
    for seed in range(40):
        result = consensus_schedule.Schedule(
            seed, replica_class=replica_class
        ).run()
        if result.violation:
            return result.violation
    return ""
