"""Members that are silent and removed for it.

Guards against a dead voter that keeps the quorum large for seconds, a voter
removed although the quorum stays as it is, and dead learners kept for ever.
"""

import pytest

from bench import consensus_scenarios
from cranberrymux.consensus import member_change
from cranberrymux.consensus import replica
from cranberrymux.consensus import silent_voter_removal

SILENT_S = 3.0
SURPLUS_SILENT_S = 0.4
KIND = member_change.ChangeKind


def removal_after(cluster, silence_s, minimum_voters=3):
    """Crashes a follower; returns it and what is due after so long."""
    leader = consensus_scenarios.wait_for_lease_holder(cluster)
    cluster.run_for(0.2)
    silent = next(node for node in cluster.nodes if node is not leader)
    cluster.crash(silent)
    cluster.run_for(silence_s)
    now_s = leader.local_time_s(cluster.now_s)
    return silent, silent_voter_removal.next_removal(
        leader.replica,
        now_s,
        minimum_voters,
        silent_s=SILENT_S,
        surplus_silent_s=SURPLUS_SILENT_S,
    )


@pytest.mark.parametrize(
    ("voters", "silence_s", "is_removed"),
    [(4, 0.6, True), (4, 0.2, False), (5, 0.6, False), (5, 3.2, True)],
)
def test_a_silent_voter_is_removed_sooner_if_the_quorum_shrinks(
    voters, silence_s, is_removed
):
    cluster = consensus_scenarios.build_cluster(3, voters, replica.Replica)
    silent, removal = removal_after(cluster, silence_s)
    expected = member_change.MemberChange(KIND.REMOVE, silent.disk.replica_id)
    assert removal == (expected if is_removed else None)


def test_a_silent_voter_that_is_needed_stays():
    cluster = consensus_scenarios.build_cluster(3, 4, replica.Replica)
    _, removal = removal_after(cluster, 4.0, minimum_voters=4)
    assert removal is None


def test_a_learner_that_is_gone_is_removed():
    cluster = consensus_scenarios.build_cluster(3, 3, replica.Replica)
    leader = consensus_scenarios.wait_for_lease_holder(cluster)
    added = member_change.MemberChange(KIND.ADD_LEARNER, "z@1", "z")
    assert cluster.change(leader, added)
    cluster.run_for(1.0)
    arguments = (leader.replica, leader.local_time_s(cluster.now_s), 3)
    limits = {"silent_s": SILENT_S, "surplus_silent_s": SURPLUS_SILENT_S}
    assert silent_voter_removal.next_removal(*arguments, **limits) is None
    cluster.run_for(SILENT_S)
    now_s = leader.local_time_s(cluster.now_s)
    assert silent_voter_removal.next_removal(
        leader.replica, now_s, 3, **limits
    ) == member_change.MemberChange(KIND.REMOVE, "z@1")
