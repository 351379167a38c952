"""Whether a replica founds the cluster."""

from cranberrymux.consensus import member_rules
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
    if not is_first_start or name != founder:
        return False
    return member_rules.holds_nothing(replica.journal)
