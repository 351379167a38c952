"""Which changes of members a leader takes."""

from collections.abc import Mapping

from cranberrymux.consensus import codec
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import journal as journal_module
from cranberrymux.consensus import leader as leader_module
from cranberrymux.consensus import member as member_module
from cranberrymux.consensus import member_change
from cranberrymux.consensus import membership
from cranberrymux.consensus import refusals
from cranberrymux.consensus import replica_settings

FOUNDING_TERM = 1
_Reason = refusals.RefusalReason


def holds_nothing(journal: journal_module.Journal) -> bool:
    """True if a replica holds no entry and no vote.

    A founding that lost power may have left its term behind, without its
    entry; it is begun again.
    """
    if journal.log.last_index or journal.voted_for:
        return False
    return journal.term <= FOUNDING_TERM


def founding_entry(
    replica_id: str, cluster_id: str, address: str
) -> entry_module.Entry:
    """The first entry of a cluster, whose only voter is its founder."""
    founder = member_module.Member(replica_id, address, True)
    members = membership.Membership(cluster_id, (founder,))
    payload = codec.encode_membership(members)
    return entry_module.Entry(
        1, FOUNDING_TERM, entry_module.EntryKind.MEMBERSHIP, payload
    )


def silent_voters(
    journal: journal_module.Journal,
    heard_at_s: Mapping[str, float],
    now_s: float,
    limit_s: float,
) -> tuple[str, ...]:
    """Voters other than this replica that were not heard within the limit."""
    return tuple(
        replica_id
        for replica_id in sorted(journal.members.voters)
        if replica_id != journal.replica_id
        and now_s - heard_at_s.get(replica_id, -limit_s) > limit_s
    )


def check(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    change: member_change.MemberChange,
) -> bytes | refusals.ProposalRefused:
    """The payload of the change's entry, or why it is not taken.

    One change at a time, and none before the leader has committed in its own
    term: then any two memberships that may be in force share a quorum.
    """
    if not leader.has_committed:
        return _refuse(_Reason.TERM_NOT_COMMITTED, "the leader is new")
    if journal.members_index > journal.commit_index:
        return _refuse(
            _Reason.CHANGE_IN_PROGRESS,
            f"entry {journal.members_index} is not yet committed",
        )
    if change.kind is member_change.ChangeKind.ADD_LEARNER:
        changed = _add(settings, journal, leader, now_s, change)
    elif change.kind is member_change.ChangeKind.PROMOTE:
        changed = _promote(settings, journal, leader, now_s, change.replica_id)
    else:
        changed = _remove(journal, change.replica_id)
    if isinstance(changed, refusals.ProposalRefused):
        return changed
    return codec.encode_membership(changed)


def _add(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    change: member_change.MemberChange,
) -> membership.Membership | refusals.ProposalRefused:
    members = journal.members
    if members.find(change.replica_id) is not None:
        return _refuse(_Reason.ALREADY_DONE, change.replica_id)
    if _has_live_namesake(settings, journal, leader, now_s, change.replica_id):
        return _refuse(_Reason.NAME_IN_USE, change.replica_id)
    added = member_module.Member(change.replica_id, change.address, False)
    return members.with_member(added)


def _has_live_namesake(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    replica_id: str,
) -> bool:
    name = member_module.Member(replica_id, "", False).name
    for one in journal.members.members:
        if one.name != name or one.replica_id == replica_id:
            continue
        if one.replica_id == journal.replica_id:
            return True
        if leader.silent_s(now_s, one.replica_id) <= settings.lease_s:
            return True
    return False


def _promote(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    replica_id: str,
) -> membership.Membership | refusals.ProposalRefused:
    found = journal.members.find(replica_id)
    if found is None:
        return _refuse(_Reason.NOT_A_MEMBER, replica_id)
    if found.voter:
        return _refuse(_Reason.ALREADY_DONE, replica_id)
    if _has_live_namesake(settings, journal, leader, now_s, replica_id):
        return _refuse(_Reason.NAME_IN_USE, replica_id)
    if leader.silent_s(now_s, replica_id) > settings.lease_s:
        return _refuse(_Reason.NOT_CAUGHT_UP, "not heard for the lease time")
    lag = journal.commit_index - leader.match_index(replica_id)
    if lag > settings.promotion_lag_entries:
        return _refuse(_Reason.NOT_CAUGHT_UP, f"{lag} entries behind")
    return journal.members.with_member(found._replace(voter=True))


def _remove(
    journal: journal_module.Journal, replica_id: str
) -> membership.Membership | refusals.ProposalRefused:
    if journal.members.find(replica_id) is None:
        return _refuse(_Reason.NOT_A_MEMBER, replica_id)
    left = journal.members.without(replica_id)
    if not left.voters:
        return _refuse(_Reason.LAST_VOTER, replica_id)
    return left


def _refuse(reason: _Reason, detail: str) -> refusals.ProposalRefused:
    return refusals.ProposalRefused(reason, detail)
