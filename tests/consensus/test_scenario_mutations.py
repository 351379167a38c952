"""Fixed sequences of events that break guarantees of a mutated replica.

Each scenario guards one safety mechanism, such as the lease or the pre-vote.
The unmodified replica must pass it; a replica without the mechanism must
violate a guarantee, or the scenario no longer tests the mechanism.
"""

import math
import random

import pytest

from bench import consensus_checker
from bench import consensus_member_scenarios
from bench import consensus_scenarios
from bench import consensus_simulated_cluster
from bench import consensus_simulated_disk
from cranberrymux.consensus import election
from cranberrymux.consensus import journal
from cranberrymux.consensus import leader
from cranberrymux.consensus import messages
from cranberrymux.consensus import replica
from cranberrymux.consensus import write


class DoesNotPersistVote(journal.Journal):
    def set_term(self, term, voted_for=""):
        super().set_term(term, voted_for)
        self._pending.hard_state = write.HardState(term, "")


class VotesDuringLease(election.Election):
    def is_lease_granted(self, now_s):
        return False


class VotesRightAfterRestart(election.Election):
    def __init__(self, settings, generator, journal_, now_s):
        super().__init__(settings, generator, journal_, now_s)
        self._lease_granted_until_s = -math.inf


class CountsLeaseFromReceipt(leader.Leader):
    def lease_until_s(self):
        heard_s = {
            replica_id: progress.heard_at_s
            for replica_id, progress in self._progress.items()
        }
        base_s = self._quorum_value(heard_s, math.inf, -math.inf)
        return base_s + self._settings.lease_s


class CommitsOlderTermByCount(leader.Leader):
    def _is_own_term(self, index):
        return True


class CountsLeaseWithoutMargin(leader.Leader):
    def lease_until_s(self):
        margin_s = self._settings.lease_s - self._settings.leader_lease_s
        return super().lease_until_s() + margin_s


class SkipsPreVote(election.Election):
    def is_won(self):
        if self._journal.voted_for != self._journal.replica_id:
            return True
        return super().is_won()

    def request_pre_votes(self, now_s):
        super().request_pre_votes(now_s)
        self._journal.set_term(self._journal.term)


class LeadsWithoutQuorum(leader.Leader):
    def has_quorum_contact(self, now_s):
        return True


class ChangesBeforeOwnCommit(leader.Leader):
    @property
    def has_committed(self):
        return True


class IgnoresPreviousVoters(journal.Journal):
    @property
    def previous_voters(self):
        return frozenset()


class ChangesTwiceAtOnce(journal.Journal):
    @property
    def membership_index(self):
        return 0


def _mutated_replica(**overrides):
    return type("MutatedReplica", (replica.Replica,), overrides)


ViolationError = consensus_checker.ViolationError
DRIFTING = consensus_simulated_cluster.SETTINGS._replace(clock_drift_ratio=0.25)
SCENARIOS = {
    "votes during the lease": (
        lambda replica_class: _run_seeds(
            consensus_scenarios.follower_cut_from_leader, replica_class
        ),
        _mutated_replica(election_class=VotesDuringLease),
    ),
    "lease counted from the answer's receipt": (
        lambda replica_class: _run_seeds(
            consensus_scenarios.leader_with_sends_cut, replica_class
        ),
        _mutated_replica(leader_class=CountsLeaseFromReceipt),
    ),
    "lease without a margin for clock drift": (
        lambda replica_class: _run_seeds(
            consensus_scenarios.leader_with_sends_cut, replica_class, DRIFTING
        ),
        _mutated_replica(leader_class=CountsLeaseWithoutMargin),
    ),
    "votes right after a restart": (
        lambda replica_class: _run_seeds(
            consensus_scenarios.follower_cut_from_leader_and_restarts,
            replica_class,
        ),
        _mutated_replica(election_class=VotesRightAfterRestart),
    ),
    "entry of an older term committed by count": (
        consensus_scenarios.older_term_entry_on_quorum,
        _mutated_replica(leader_class=CommitsOlderTermByCount),
    ),
    "change of members before a commit in the leader's term": (
        consensus_member_scenarios.change_without_own_commit,
        _mutated_replica(
            leader_class=ChangesBeforeOwnCommit,
            journal_class=ChangesTwiceAtOnce,
        ),
    ),
    "two uncommitted changes of members": (
        consensus_member_scenarios.two_changes_at_once,
        _mutated_replica(journal_class=ChangesTwiceAtOnce),
    ),
    "no pre-vote": (
        consensus_scenarios.isolated_follower,
        _mutated_replica(election_class=SkipsPreVote),
    ),
    "no candidacy of a voter whose removal is not committed": (
        consensus_member_scenarios.removal_not_committed,
        _mutated_replica(journal_class=IgnoresPreviousVoters),
    ),
    "no check of the leader's own disk": (
        consensus_scenarios.hung_disk,
        _mutated_replica(_may_keep_leading=lambda self, now_s, leader: True),
    ),
    "no check of contact with the quorum": (
        consensus_scenarios.isolated_leader,
        _mutated_replica(leader_class=LeadsWithoutQuorum),
    ),
}


def _run_seeds(scenario, replica_class, *settings):
    for seed in range(25):
        scenario(seed, replica_class, *settings)


@pytest.mark.parametrize("name", SCENARIOS)
def test_unmodified_replica_passes_scenario(name):
    scenario, _ = SCENARIOS[name]
    scenario(replica.Replica)


@pytest.mark.parametrize("name", SCENARIOS)
def test_mutated_replica_violates_guarantee(name):
    scenario, mutated_class = SCENARIOS[name]
    with pytest.raises(ViolationError):
        scenario(mutated_class)


def _candidates_granted(replica_class):
    """Returns candidates of one term granted by a voter that loses power."""
    disk = consensus_simulated_disk.SimulatedDisk("a@1")
    granted = []
    for candidate in ("b@1", "c@1"):
        voter = replica_class(
            consensus_simulated_cluster.SETTINGS,
            random.Random(1),
            disk.restore(),
            0.0,
        )
        request = messages.VoteRequest(
            "cluster", candidate, "a@1", 7, False, 5, 5
        )
        step_effects = voter.step(1.0, request)
        disk.sync(step_effects.writes)
        last_id = step_effects.writes[-1].write_id if step_effects.writes else 0
        sync_effects = voter.note_synced(1.1, last_id)
        for answer in (*step_effects.messages, *sync_effects.messages):
            if answer.granted:
                granted.append(answer.recipient)
    return granted


def test_voter_grants_one_candidate_per_term_across_power_cut():
    assert _candidates_granted(replica.Replica) == ["b@1"]


def test_voter_without_durable_vote_grants_two_candidates():
    mutated_class = _mutated_replica(journal_class=DoesNotPersistVote)
    assert _candidates_granted(mutated_class) == ["b@1", "c@1"]
