"""Fixed sequences of events that random schedules reach too rarely.

Each scenario takes the replica class, so that a test can pass one without the
safety mechanism in question, and raises `consensus_checker.ViolationError` if
it finds a guarantee broken.
"""

from bench import consensus_checker
from bench import consensus_node
from bench import consensus_simulated_cluster
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import write as write_module

_STEP_S = 0.002
_SETTINGS = consensus_simulated_cluster.SETTINGS


def build_cluster(
    seed: int,
    voters: int,
    replica_class: type[replica_module.Replica],
    settings: replica_settings.ReplicaSettings = _SETTINGS,
) -> consensus_simulated_cluster.SimulatedCluster:
    """Returns a formed cluster without random losses or slow messages.

    Args:
        seed: Seed of all random choices of the cluster.
        voters: Number of voters, at most 7.
        replica_class: Class of the replicas.
        settings: Settings of the replicas.
    """
    cluster = consensus_simulated_cluster.SimulatedCluster(
        seed, voters, replica_class, settings
    )
    cluster.loss_rate = cluster.duplicate_rate = cluster.slow_rate = 0.0
    return cluster


def wait_for_lease_holder(
    cluster: consensus_simulated_cluster.SimulatedCluster,
) -> consensus_node.Node:
    """Runs until a leader holds a valid lease, and returns it."""
    for _ in range(int(5 / _STEP_S)):
        cluster.run_for(_STEP_S)
        for node in cluster.leaders():
            assert node.replica is not None
            if node.replica.has_valid_lease(node.local_time_s(cluster.now_s)):
                return node
    raise consensus_checker.ViolationError("no leader within 5 s")


def partition(
    cluster: consensus_simulated_cluster.SimulatedCluster,
    some: list[consensus_node.Node],
    others: list[consensus_node.Node],
) -> None:
    """Cuts all links between two groups in both directions."""
    for node in some:
        for other in others:
            cluster.cut_links |= {
                (node.name, other.name),
                (other.name, node.name),
            }


def follower_cut_from_leader(
    seed: int, replica_class: type[replica_module.Replica]
) -> None:
    """Cuts the link between a leader of three and one of its followers.

    The third member still hears both.
    """
    cluster = build_cluster(seed, 3, replica_class)
    leader = wait_for_lease_holder(cluster)
    follower = next(node for node in cluster.nodes if node is not leader)
    partition(cluster, [leader], [follower])
    cluster.run_for(8 * _SETTINGS.lease_s)


def leader_with_sends_cut(
    seed: int,
    replica_class: type[replica_module.Replica],
    settings: replica_settings.ReplicaSettings = _SETTINGS,
) -> None:
    """Cuts the messages of a leader; delayed answers still reach it.

    The clocks differ as much as the settings allow, and each answer takes half
    a lease longer.
    """
    cluster = build_cluster(seed, 3, replica_class, settings)
    leader = wait_for_lease_holder(cluster)
    others = [node for node in cluster.nodes if node is not leader]
    _set_clock_rate(cluster, leader, 1 - settings.clock_drift_ratio)
    for node in others:
        _set_clock_rate(cluster, node, 1 + settings.clock_drift_ratio)
        cluster.extra_delay_s[node.name, leader.name] = settings.lease_s / 2
    cluster.run_for(0.3)
    cluster.cut_links = {(leader.name, node.name) for node in others}
    cluster.run_for(4 * settings.lease_s)


def follower_cut_from_leader_and_restarts(
    seed: int, replica_class: type[replica_module.Replica]
) -> None:
    """Cuts a follower from its leader and restarts the third member often."""
    cluster = build_cluster(seed, 3, replica_class)
    leader = wait_for_lease_holder(cluster)
    follower, third = [node for node in cluster.nodes if node is not leader]
    partition(cluster, [leader], [follower])
    for _ in range(8):
        cluster.run_for(cluster.generator.uniform(0.05, 0.15))
        cluster.crash(third)
        cluster.start(third)
        # Cut off from the leader, it still answers the candidate.
        links = {(third.name, leader.name), (leader.name, third.name)}
        cluster.cut_links |= links
        cluster.run_for(0.12)
        cluster.cut_links -= links


def older_term_entry_on_quorum(
    replica_class: type[replica_module.Replica],
) -> None:
    """Puts an entry of an older term on a quorum; a newer log can replace it.

    Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm,
    figure 8.
    """
    settings = _SETTINGS._replace(max_append_entries=1, max_in_flight=1)
    for seed in range(20):
        cluster = build_cluster(seed, 5, replica_class, settings)
        for payload in (b"older", b"newer"):
            cluster.checker.record_proposal(payload)
        a, b, c, d, e = cluster.nodes
        for node in cluster.nodes:
            cluster.crash(node)
        for node in (a, b):
            _write_entry(node, 3, 2, b"older")
        _write_entry(e, 3, 3, b"newer")
        for node in (a, b, c, d):
            cluster.start(node)
        _run_until_third_holds_entry(cluster, [a, b, c, d])
        cluster.cut_links = {
            (x.name, y.name) for x in (a, b) for y in cluster.nodes
        }
        for node in (a, b):
            cluster.crash(node)
        cluster.start(e)
        cluster.run_for(2.0)


def isolated_follower(replica_class: type[replica_module.Replica]) -> None:
    """Reconnects a follower that was cut off from both other members."""
    cluster = build_cluster(2, 3, replica_class)
    leader = wait_for_lease_holder(cluster)
    isolated = next(node for node in cluster.nodes if node is not leader)
    others = [node for node in cluster.nodes if node is not isolated]
    partition(cluster, [isolated], others)
    cluster.run_for(3.0)
    cluster.cut_links.clear()
    cluster.run_for(1.0)
    if cluster.leaders() != [leader] or len(cluster.checker.leader_terms) != 1:
        raise consensus_checker.ViolationError(
            "a reconnected follower deposed the leader"
        )


def isolated_leader(replica_class: type[replica_module.Replica]) -> None:
    """Cuts a leader off from both followers for two leases."""
    cluster = build_cluster(3, 3, replica_class)
    leader = wait_for_lease_holder(cluster)
    others = [node for node in cluster.nodes if node is not leader]
    partition(cluster, [leader], others)
    cluster.run_for(2 * _SETTINGS.lease_s)
    if leader in cluster.leaders():
        raise consensus_checker.ViolationError(
            "a leader without a quorum still leads"
        )


def hung_disk(replica_class: type[replica_module.Replica]) -> None:
    """Keeps the disk of a leader from completing its syncs."""
    cluster = build_cluster(4, 3, replica_class)
    leader = wait_for_lease_holder(cluster)
    cluster.run_for(0.2)
    cluster.hung_disks.add(leader.name)
    committed_before = cluster.committed_count
    until_s = cluster.now_s + _SETTINGS.disk_stall_s + 3.0
    while cluster.now_s < until_s:
        for node in cluster.leaders():
            cluster.propose(node)
        cluster.run_for(0.05)
    if (
        leader in cluster.leaders()
        or cluster.committed_count < committed_before + 10
    ):
        raise consensus_checker.ViolationError(
            "a leader with a hung disk stops commits"
        )
    cluster.hung_disks.clear()
    cluster.run_for(1.0)
    if len({node.digest for node in cluster.nodes}) != 1:
        raise consensus_checker.ViolationError("state digests differ")


def _set_clock_rate(
    cluster: consensus_simulated_cluster.SimulatedCluster,
    node: consensus_node.Node,
    rate: float,
) -> None:
    # Keeps the present reading of the clock.
    node.clock_offset_s = (
        node.local_time_s(cluster.now_s) - cluster.now_s * rate
    )
    node.clock_rate = rate


def _write_entry(
    node: consensus_node.Node, term: int, entry_term: int, payload: bytes
) -> None:
    node.disk.hard_state = write_module.HardState(term, "")
    node.disk.entries[2] = entry_module.Entry(
        2, entry_term, entry_module.EntryKind.COMMAND, payload
    )


def _run_until_third_holds_entry(
    cluster: consensus_simulated_cluster.SimulatedCluster,
    nodes: list[consensus_node.Node],
) -> None:
    # Stops when three of five disks hold the older entry and the leader has
    # heard of the third, before it sends the entry of its own term.
    for _ in range(4000):
        cluster.run_for(_STEP_S / 8)
        for node in cluster.leaders():
            assert node.replica is not None
            if node.replica.journal.commit_index >= 2:
                return
            holders = [x for x in nodes if 2 in x.disk.entries]
            if (
                len(holders) >= 3
                and not node.replica.journal.log.last_index < 3
            ):
                cluster.run_for(0.012)
                return
