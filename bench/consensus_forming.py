"""Writes the initial state of a formed cluster to simulated disks."""

from bench import consensus_node
from cranberrymux.consensus import codec
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import member
from cranberrymux.consensus import membership
from cranberrymux.consensus import write as write_module


def form(nodes: list[consensus_node.Node]) -> None:
    """Makes the instances voters of one cluster.

    Writes term 1 and the membership entry to every disk, without founding and
    without added learners.

    Args:
        nodes: Instances with empty disks, not running.
    """
    members = membership.Membership(
        "cluster",
        tuple(
            member.Member(node.disk.replica_id, node.name, True)
            for node in nodes
        ),
    )
    membership_entry = entry_module.Entry(
        1,
        1,
        entry_module.EntryKind.MEMBERSHIP,
        codec.encode_membership(members),
    )
    initial_write = write_module.Write(
        1, write_module.HardState(1, ""), entries=(membership_entry,)
    )
    for node in nodes:
        node.disk.sync([initial_write])
