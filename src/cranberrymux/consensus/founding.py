"""Decides whether a replica founds the cluster."""

from cranberrymux.consensus import member_rules
from cranberrymux.consensus import replica as replica_module


def may_found_cluster(
    replica: replica_module.Replica,
    name: str,
    founder: str,
    is_first_start: bool,
) -> bool:
    """Returns whether this replica founds the cluster now.

    Only one named instance founds the cluster, and only during the first start
    of the whole system: an empty disk at a later start is a lost disk, and
    founding on it would create a second cluster next to the first. A founding
    that was interrupted, such as by a full disk, is done again.

    Args:
        replica: This instance's replica.
        name: Name of this instance.
        founder: Name of the instance that founds the cluster.
        is_first_start: True while the disks of all instances are new.
    """
    if member_rules.has_begun_founding(replica.journal):
        return True
    if not is_first_start or name != founder:
        return False
    return member_rules.holds_no_log_or_vote(replica.journal)
