"""Mechanisms taken out that a fixed sequence of events finds."""

import math
import random

import pytest

from bench import consensus_checker
from bench import consensus_disk
from bench import consensus_member_scenarios
from bench import consensus_scenarios
from bench import consensus_world
from cranberrymux.consensus import election
from cranberrymux.consensus import journal
from cranberrymux.consensus import leader
from cranberrymux.consensus import messages
from cranberrymux.consensus import replica
from cranberrymux.consensus import write


class ForgetsVote(journal.Journal):
    def set_term(self, term, voted_for=""):
        super().set_term(term, voted_for)
        self._pending.hard_state = write.HardState(term, "")


class VotesInsideLease(election.Election):
    def is_promised(self, now_s):
        return False


class VotesRightAfterStart(election.Election):
    def __init__(self, settings, generator, journal_, now_s):
        super().__init__(settings, generator, journal_, now_s)
        self._promise_until_s = -math.inf


class CountsLeaseFromReceipt(leader.Leader):
    def lease_until_s(self):
        heard_s = {x: known.heard_at_s for x, known in self._progress.items()}
        base_s = self._of_quorum(heard_s, math.inf, -math.inf)
        return base_s + self._settings.lease_s


class CommitsOlderTermByCount(leader.Leader):
    def _counts(self, index):
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

    def ask_pre_votes(self, now_s):
        super().ask_pre_votes(now_s)
        self._journal.set_term(self._journal.term)


class LeadsWithoutQuorum(leader.Leader):
    def has_contact(self, now_s):
        return True


class ChangesBeforeOwnCommit(leader.Leader):
    @property
    def has_committed(self):
        return True


class ForgetsItWasVoter(journal.Journal):
    @property
    def previous_voters(self):
        return frozenset()


class ChangesTwiceAtOnce(journal.Journal):
    @property
    def members_index(self):
        return 0


def _replica(**parts):
    return type("MutatedReplica", (replica.Replica,), parts)


ViolationError = consensus_checker.ViolationError
DRIFTING = consensus_world.SETTINGS._replace(clock_drift_ratio=0.25)
SCENARIOS = {
    "vote inside the lease": (
        lambda kind: _try_seeds(consensus_scenarios.deaf_follower, kind),
        _replica(election_class=VotesInsideLease),
    ),
    "lease counted from receipt": (
        lambda kind: _try_seeds(consensus_scenarios.silenced_leader, kind),
        _replica(leader_class=CountsLeaseFromReceipt),
    ),
    "lease without margin for drift": (
        lambda kind: _try_seeds(
            consensus_scenarios.silenced_leader, kind, DRIFTING
        ),
        _replica(leader_class=CountsLeaseWithoutMargin),
    ),
    "vote right after a start": (
        lambda kind: _try_seeds(
            consensus_scenarios.deaf_follower_and_restart, kind
        ),
        _replica(election_class=VotesRightAfterStart),
    ),
    "older term committed by count": (
        consensus_scenarios.older_term,
        _replica(leader_class=CommitsOlderTermByCount),
    ),
    "change of members before a commit of its own": (
        consensus_member_scenarios.change_without_own_commit,
        _replica(
            leader_class=ChangesBeforeOwnCommit,
            journal_class=ChangesTwiceAtOnce,
        ),
    ),
    "two changes of members at once": (
        consensus_member_scenarios.two_changes_at_once,
        _replica(journal_class=ChangesTwiceAtOnce),
    ),
    "no pre-vote": (
        consensus_scenarios.isolated_follower,
        _replica(election_class=SkipsPreVote),
    ),
    "no election by one whose removal is not committed": (
        consensus_member_scenarios.removal_not_committed,
        _replica(journal_class=ForgetsItWasVoter),
    ),
    "no check of the leader's own disk": (
        consensus_scenarios.hung_disk,
        _replica(_may_lead_on=lambda self, now_s, leader: True),
    ),
    "no check of the quorum": (
        consensus_scenarios.isolated_leader,
        _replica(leader_class=LeadsWithoutQuorum),
    ),
}


def _try_seeds(scenario, kind, *settings):
    for seed in range(25):
        scenario(seed, kind, *settings)


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_holds(name):
    scenario, _ = SCENARIOS[name]
    scenario(replica.Replica)


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario_finds(name):
    scenario, mutated = SCENARIOS[name]
    with pytest.raises(ViolationError):
        scenario(mutated)


def _candidates_granted(replica_class):
    """Candidates of one term that a voter granted, over a power cut."""
    disk = consensus_disk.SimulatedDisk("a@1")
    granted = []
    for candidate in ("b@1", "c@1"):
        voter = replica_class(
            consensus_world.SETTINGS, random.Random(1), disk.restore(), 0.0
        )
        request = messages.VoteRequest(
            "cluster", candidate, "a@1", 7, False, 5, 5
        )
        first = voter.step(1.0, request)
        disk.sync(first.writes)
        last_id = first.writes[-1].write_id if first.writes else 0
        second = voter.disk_done(1.1, last_id)
        for answer in (*first.messages, *second.messages):
            if answer.granted:
                granted.append(answer.recipient)
    return granted


def test_vote_outlives_power_cut():
    assert _candidates_granted(replica.Replica) == ["b@1"]


def test_forgotten_vote_is_found():
    forgetful = _replica(journal_class=ForgetsVote)
    assert _candidates_granted(forgetful) == ["b@1", "c@1"]
