"""Forms a simulated cluster without the steps of founding."""

from bench import consensus_node
from cranberrymux.consensus import codec
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import member
from cranberrymux.consensus import membership
from cranberrymux.consensus import write as write_module


def form(nodes: list[consensus_node.Node]) -> None:
    """Makes the instances voters of one cluster, on their disks."""
    members = membership.Membership(
        "cluster",
        tuple(
            member.Member(node.disk.replica_id, node.name, True)
            for node in nodes
        ),
    )
    first = entry_module.Entry(
        1,
        1,
        entry_module.EntryKind.MEMBERSHIP,
        codec.encode_membership(members),
    )
    formed = write_module.Write(
        1, write_module.HardState(1, ""), entries=(first,)
    )
    for node in nodes:
        node.disk.sync([formed])
