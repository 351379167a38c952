"""Mechanisms taken out that random schedules find."""

import pytest

from bench import consensus_checker
from bench import consensus_disk
from bench import consensus_faults
from bench import consensus_member_scenarios
from bench import consensus_schedule
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


class GivesVoteToOlderLog(election.Election):
    def _may_grant(self, request):
        return request.pre_vote or (
            request.term == self._journal.term
            and self._journal.voted_for in ("", request.sender)
        )


class VotesTwice(election.Election):
    def _may_grant(self, request):
        return request.term >= self._journal.term and (
            self._journal.log.is_up_to_date(
                request.last_index, request.last_term
            )
        )


class TruncatesWithoutConflict(follower.Follower):
    def _merge(self, request, start_index):
        committed = self._journal.commit_index
        entries = [x for x in request.entries if x.log_index > committed]
        if not entries:
            return
        if entries[0].log_index <= self._journal.log.last_index:
            self._journal.truncate(entries[0].log_index)
        self._journal.append(entries)


class CommitsBeyondMatch(follower.Follower):
    def take_entries(self, request):
        super().take_entries(request)
        self._journal.commit(request.commit_index)


class KeepsIdentity(consensus_schedule.Schedule):
    def lose_disk(self, node):
        _lose_disk_and_keep_identity(node)


def _replica(**parts):
    return type("MutatedReplica", (replica.Replica,), parts)


ViolationError = consensus_checker.ViolationError
SCHEDULES = {
    "acknowledges before sync": _replica(journal_class=AcknowledgesBeforeSync),
    "counts its own unsynced entries": _replica(
        journal_class=CountsOwnUnsyncedEntries
    ),
    "gives its vote to an older log": _replica(
        election_class=GivesVoteToOlderLog
    ),
    "votes twice": _replica(election_class=VotesTwice),
    "truncates without a conflict": _replica(
        follower_class=TruncatesWithoutConflict
    ),
    "commits beyond what matches": _replica(follower_class=CommitsBeyondMatch),
}


@pytest.mark.parametrize("name", SCHEDULES)
def test_schedules_find(name):
    assert _first_violation(SCHEDULES[name])


def _lose_disk(node):
    node.lose_disk()


def _lose_disk_and_keep_identity(node):
    node.disk = consensus_disk.SimulatedDisk(node.disk.replica_id)


def test_new_identity_after_lost_disk_holds():
    consensus_member_scenarios.lost_disk(_lose_disk)


def test_old_identity_after_lost_disk_is_found():
    with pytest.raises(ViolationError):
        consensus_member_scenarios.lost_disk(_lose_disk_and_keep_identity)


def test_schedules_find_old_identity_after_lost_disk():
    faults = consensus_faults.Faults(lose_disk=6)
    runs = (KeepsIdentity(seed, faults=faults).run() for seed in range(40))
    assert any(run.violation for run in runs)


def _first_violation(replica_class):
    for seed in range(40):
        found = consensus_schedule.Schedule(
            seed, replica_class=replica_class
        ).run()
        if found.violation:
            return found.violation
    return ""
