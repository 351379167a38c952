"""Whether a replica founds the cluster."""

from cranberrymux.consensus import replica as replica_module


def may_found(
    replica: replica_module.Replica,
    name: str,
    founder: str,
    is_first_start: bool,
) -> bool:
    """True if this replica founds the cluster now.

    One named instance founds, and only while the whole system starts for the
    first time: a disk that is empty later was lost, and whoever founded on it
    would lead a second cluster beside the first.

    Args:
        replica: This instance's replica.
        name: Name of this instance.
        founder: Name of the instance that founds.
        is_first_start: True while all disks are new.
    """
    journal = replica.journal
    holds_nothing = not journal.members.cluster_id and not journal.term
    return is_first_start and name == founder and holds_nothing
