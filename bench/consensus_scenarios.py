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


def build(
    seed: int,
    voters: int,
    replica_class: type[replica_module.Replica],
    settings: replica_settings.ReplicaSettings = _SETTINGS,
) -> consensus_simulated_cluster.World:
    """Returns a formed cluster without random losses or slow messages.

    Args:
        seed: Seed of all random choices of the cluster.
        voters: Number of voters, at most 7.
        replica_class: Class of the replicas.
        settings: Settings of the replicas.
    """
    world = consensus_simulated_cluster.World(
        seed, voters, replica_class, settings
    )
    world.loss = world.doubling = world.slow = 0.0
    return world


def elect(world: consensus_simulated_cluster.World) -> consensus_node.Node:
    """Runs until a leader holds a valid lease, and returns it."""
    for _ in range(int(5 / _STEP_S)):
        world.run_for(_STEP_S)
        for node in world.leaders():
            assert node.replica is not None
            if node.replica.has_valid_lease(node.local_s(world.now_s)):
                return node
    raise consensus_checker.ViolationError("no leader within 5 s")


def separate(
    world: consensus_simulated_cluster.World,
    some: list[consensus_node.Node],
    others: list[consensus_node.Node],
) -> None:
    """Cuts all links between two groups in both directions."""
    for one in some:
        for other in others:
            world.cut |= {(one.name, other.name), (other.name, one.name)}


def deaf_follower(
    seed: int, replica_class: type[replica_module.Replica]
) -> None:
    """Cuts the link between a leader of three and one of its followers.

    The third member still hears both.
    """
    world = build(seed, 3, replica_class)
    leader = elect(world)
    follower = next(node for node in world.nodes if node is not leader)
    separate(world, [leader], [follower])
    world.run_for(8 * _SETTINGS.lease_s)


def silenced_leader(
    seed: int,
    replica_class: type[replica_module.Replica],
    settings: replica_settings.ReplicaSettings = _SETTINGS,
) -> None:
    """Cuts the messages of a leader; delayed answers still reach it.

    The clocks differ as much as the settings allow, and each answer takes half
    a lease longer.
    """
    world = build(seed, 3, replica_class, settings)
    leader = elect(world)
    others = [node for node in world.nodes if node is not leader]
    _set_clock_rate(world, leader, 1 - settings.clock_drift_ratio)
    for node in others:
        _set_clock_rate(world, node, 1 + settings.clock_drift_ratio)
        world.late_s[node.name, leader.name] = settings.lease_s / 2
    world.run_for(0.3)
    world.cut = {(leader.name, node.name) for node in others}
    world.run_for(4 * settings.lease_s)


def deaf_follower_and_restart(
    seed: int, replica_class: type[replica_module.Replica]
) -> None:
    """Cuts a follower from its leader and restarts the third member often."""
    world = build(seed, 3, replica_class)
    leader = elect(world)
    follower, third = [node for node in world.nodes if node is not leader]
    separate(world, [leader], [follower])
    for _ in range(8):
        world.run_for(world.generator.uniform(0.05, 0.15))
        world.crash(third)
        world.start(third)
        # Cut off from the leader, it still answers the candidate.
        links = {(third.name, leader.name), (leader.name, third.name)}
        world.cut |= links
        world.run_for(0.12)
        world.cut -= links


def older_term(
    replica_class: type[replica_module.Replica],
) -> None:
    """Puts an entry of an older term on a quorum; a newer log can replace it.

    Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm,
    figure 8.
    """
    settings = _SETTINGS._replace(max_append_entries=1, max_in_flight=1)
    for seed in range(20):
        world = build(seed, 5, replica_class, settings)
        for payload in (b"older", b"newer"):
            world.checker.saw_proposed(payload)
        a, b, c, d, e = world.nodes
        for node in world.nodes:
            world.crash(node)
        for node in (a, b):
            _write_entry(node, 3, 2, b"older")
        _write_entry(e, 3, 3, b"newer")
        for node in (a, b, c, d):
            world.start(node)
        _run_until_third_holds_entry(world, [a, b, c, d])
        world.cut = {(x.name, y.name) for x in (a, b) for y in world.nodes}
        for node in (a, b):
            world.crash(node)
        world.start(e)
        world.run_for(2.0)


def isolated_follower(replica_class: type[replica_module.Replica]) -> None:
    """Reconnects a follower that was cut off from both other members."""
    world = build(2, 3, replica_class)
    leader = elect(world)
    isolated = next(node for node in world.nodes if node is not leader)
    others = [node for node in world.nodes if node is not isolated]
    separate(world, [isolated], others)
    world.run_for(3.0)
    world.cut.clear()
    world.run_for(1.0)
    if world.leaders() != [leader] or len(world.checker.leader_terms) != 1:
        raise consensus_checker.ViolationError(
            "a reconnected follower deposed the leader"
        )


def isolated_leader(replica_class: type[replica_module.Replica]) -> None:
    """Cuts a leader off from both followers for two leases."""
    world = build(3, 3, replica_class)
    leader = elect(world)
    others = [node for node in world.nodes if node is not leader]
    separate(world, [leader], others)
    world.run_for(2 * _SETTINGS.lease_s)
    if leader in world.leaders():
        raise consensus_checker.ViolationError(
            "a leader without a quorum still leads"
        )


def hung_disk(replica_class: type[replica_module.Replica]) -> None:
    """Keeps the disk of a leader from completing its syncs."""
    world = build(4, 3, replica_class)
    leader = elect(world)
    world.run_for(0.2)
    world.hung.add(leader.name)
    committed_before = world.accepted
    until_s = world.now_s + _SETTINGS.disk_stall_s + 3.0
    while world.now_s < until_s:
        for node in world.leaders():
            world.propose(node)
        world.run_for(0.05)
    if leader in world.leaders() or world.accepted < committed_before + 10:
        raise consensus_checker.ViolationError(
            "a leader with a hung disk stops commits"
        )
    world.hung.clear()
    world.run_for(1.0)
    if len({node.digest for node in world.nodes}) != 1:
        raise consensus_checker.ViolationError("state digests differ")


def _set_clock_rate(
    world: consensus_simulated_cluster.World,
    node: consensus_node.Node,
    rate: float,
) -> None:
    # Keeps the present reading of the clock.
    node.clock_offset_s = node.local_s(world.now_s) - world.now_s * rate
    node.clock_rate = rate


def _write_entry(
    node: consensus_node.Node, term: int, entry_term: int, payload: bytes
) -> None:
    node.disk.hard_state = write_module.HardState(term, "")
    node.disk.entries[2] = entry_module.Entry(
        2, entry_term, entry_module.EntryKind.COMMAND, payload
    )


def _run_until_third_holds_entry(
    world: consensus_simulated_cluster.World, nodes: list[consensus_node.Node]
) -> None:
    # Stops when three of five disks hold the older entry and the leader has
    # heard of the third, before it sends the entry of its own term.
    for _ in range(4000):
        world.run_for(_STEP_S / 8)
        for node in world.leaders():
            assert node.replica is not None
            if node.replica.journal.commit_index >= 2:
                return
            holders = [x for x in nodes if 2 in x.disk.entries]
            if (
                len(holders) >= 3
                and not node.replica.journal.log.last_index < 3
            ):
                world.run_for(0.012)
                return
