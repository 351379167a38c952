"""Orders of a replacement, a lost disk and a loss of power.

Guards against a voter that never comes back and still counts for the quorum
when one more disk is lost, so that no change can be accepted any more.
"""

import pytest

from bench import consensus_replacement_case as case_module
from bench import consensus_replacement_cluster
from bench import consensus_replacement_model

Event = case_module.Event
Victim = case_module.Victim
SEED = 1
# Every so many of the cases; `bench_replacement` plays all of them.
CASES_IN_STEPS = 23
OTHER_CASES_IN_STEPS = 229

NEW_FIRST = case_module.Case(
    voters=3,
    order=(Event.START_NEW, Event.END_OLD, Event.LOSE_DISK, Event.START_LOST),
    gaps_s=(case_module.CATCH_UP_S, case_module.SHORT_GAP_S, 0.0),
    ending=case_module.Ending.TERM,
    old=Victim.FOLLOWER,
    lost=Victim.NEW,
    cuts_power=False,
    late_messages=False,
)
KILLED_FIRST = case_module.Case(
    voters=3,
    order=(Event.END_OLD, Event.START_NEW, Event.LOSE_DISK, Event.START_LOST),
    gaps_s=(
        case_module.SHORT_GAP_S,
        case_module.CATCH_UP_S,
        case_module.SHORT_GAP_S,
    ),
    ending=case_module.Ending.KILL,
    old=Victim.LEADER,
    lost=Victim.LEADER,
    cuts_power=True,
    late_messages=True,
)


class EndsWithoutLeaving(consensus_replacement_cluster.ReplacementCluster):
    """An instance that ends on purpose stays a member."""

    def leave(self, node):
        self.end(node)


class KeepsSurplusVoters(consensus_replacement_cluster.ReplacementCluster):
    """A silent voter counts for long, also if the quorum shrinks without it."""

    surplus_silent_s = consensus_replacement_cluster.SILENT_VOTER_S


def test_a_quorum_is_left_after_every_order_that_is_tolerated():
    cases = [case for case in case_module.all_cases() if case.must_recover]
    played = cases[::CASES_IN_STEPS]
    assert len(played) > 90
    assert consensus_replacement_model.play(played, SEED) == []


def test_orders_that_are_not_tolerated_keep_every_guarantee():
    """Two disks lost at once may stop it, but accept nothing else."""
    cases = [case for case in case_module.all_cases() if not case.must_recover]
    played = cases[::OTHER_CASES_IN_STEPS]
    assert len(played) > 20
    assert consensus_replacement_model.play(played, SEED) == []


@pytest.mark.parametrize(
    ("case", "cluster_class"),
    [(NEW_FIRST, EndsWithoutLeaving), (KILLED_FIRST, KeepsSurplusVoters)],
    ids=["end without leaving", "keep surplus voters"],
)
def test_the_model_finds_a_lost_quorum_without_the_mechanism(
    case, cluster_class
):
    assert case.must_recover
    seeds = range(6)
    assert not any(
        consensus_replacement_model.play([case], seed) for seed in seeds
    )
    assert any(
        consensus_replacement_model.play([case], seed, cluster_class)
        for seed in seeds
    )
