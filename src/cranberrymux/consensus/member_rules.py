"""Rules for founding a cluster and for changing its members."""

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


def holds_no_log_or_vote(journal: journal_module.Journal) -> bool:
    """Returns whether a replica holds no entry and no vote.

    A power failure while a cluster is founded may leave the founding term on
    the disk without the founding entry; founding may then start again.
    """
    if journal.log.last_index or journal.voted_for:
        return False
    return journal.term <= FOUNDING_TERM


def has_begun_founding(journal: journal_module.Journal) -> bool:
    """Returns whether this replica began to found a cluster and did not end.

    A founder votes for itself in the founding term, in which nobody else does:
    candidates vote in later terms, and a replica whose disk was lost comes back
    with another identity. Without a log it is the only trace of the founding.
    """
    return (
        journal.term == FOUNDING_TERM
        and journal.voted_for == journal.replica_id
        and not journal.log.last_index
    )


def may_found(journal: journal_module.Journal) -> bool:
    """Returns whether a replica has nothing that founding could contradict."""
    return holds_no_log_or_vote(journal) or has_begun_founding(journal)


def founding_entry(
    replica_id: str, cluster_id: str, address: str
) -> entry_module.Entry:
    """Builds the first entry of a cluster; its founder is the only voter."""
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
    """Returns the other voters that were not heard from within the limit.

    Args:
        journal: Membership and identity of this replica.
        heard_at_s: By replica id, when the last message arrived.
        now_s: Present time on the same clock.
        limit_s: Longest time without a message that is not silence.

    Returns:
        Replica ids, sorted.
    """
    return tuple(
        replica_id
        for replica_id in sorted(journal.membership.voters)
        if replica_id != journal.replica_id
        and now_s - heard_at_s.get(replica_id, -limit_s) > limit_s
    )


def validate_change(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    change: member_change.MemberChange,
) -> bytes | refusals.ProposalRefused:
    """Returns the payload of the change's entry, or why it is refused.

    Only one change may be uncommitted, and none is allowed before the leader
    has committed an entry of its own term. This ensures that the quorums of
    any two memberships that may be in force at once overlap.
    """
    if not leader.has_committed:
        return _refuse(
            _Reason.TERM_NOT_COMMITTED,
            "the leader has not committed an entry of its own term",
        )
    if journal.membership_index > journal.commit_index:
        return _refuse(
            _Reason.CHANGE_IN_PROGRESS,
            f"membership entry {journal.membership_index} is not yet committed",
        )
    if change.kind is member_change.ChangeKind.ADD_LEARNER:
        changed = _add_learner(settings, journal, leader, now_s, change)
    elif change.kind is member_change.ChangeKind.PROMOTE:
        changed = _promote(settings, journal, leader, now_s, change.replica_id)
    else:
        changed = _remove(journal, change.replica_id)
    if isinstance(changed, refusals.ProposalRefused):
        return changed
    return codec.encode_membership(changed)


def _add_learner(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    change: member_change.MemberChange,
) -> membership.Membership | refusals.ProposalRefused:
    members = journal.membership
    if members.find(change.replica_id) is not None:
        return _refuse(_Reason.ALREADY_DONE, change.replica_id)
    if _is_name_in_use(settings, journal, leader, now_s, change.replica_id):
        return _refuse(_Reason.NAME_IN_USE, change.replica_id)
    added = member_module.Member(change.replica_id, change.address, False)
    return members.with_member(added)


def _is_name_in_use(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    replica_id: str,
) -> bool:
    name = member_module.Member(replica_id, "", False).name
    for member in journal.membership.members:
        if member.name != name or member.replica_id == replica_id:
            continue
        if member.replica_id == journal.replica_id:
            return True
        if leader.silent_s(now_s, member.replica_id) <= settings.lease_s:
            return True
    return False


def _promote(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    replica_id: str,
) -> membership.Membership | refusals.ProposalRefused:
    member = journal.membership.find(replica_id)
    if member is None:
        return _refuse(_Reason.NOT_A_MEMBER, replica_id)
    if member.voter:
        return _refuse(_Reason.ALREADY_DONE, replica_id)
    if _is_name_in_use(settings, journal, leader, now_s, replica_id):
        return _refuse(_Reason.NAME_IN_USE, replica_id)
    lack = _find_lack(settings, journal, leader, now_s, replica_id)
    if lack:
        return _refuse(_Reason.NOT_CAUGHT_UP, lack)
    return journal.membership.with_member(member._replace(voter=True))


def _find_lack(
    settings: replica_settings.ReplicaSettings,
    journal: journal_module.Journal,
    leader: leader_module.Leader,
    now_s: float,
    replica_id: str,
) -> str:
    """Returns why a learner has not caught up; empty if it has."""
    match_index = leader.match_index(replica_id)
    if not match_index:
        # It may have ended for good: a voter that never answers can put the
        # quorum out of reach.
        return "the learner has confirmed no entry to this leader"
    if match_index < journal.membership_index:
        # Its log may have been whole before it was added, so that it confirms
        # without a write: a disk that is full would not show.
        return "the learner has not stored the entry that added it"
    if leader.silent_s(now_s, replica_id) > settings.lease_s:
        return "the learner was not heard from within the lease time"
    lag = journal.commit_index - match_index
    if lag > settings.promotion_lag_entries:
        return f"the learner lacks {lag} committed entries"
    return ""


def _remove(
    journal: journal_module.Journal, replica_id: str
) -> membership.Membership | refusals.ProposalRefused:
    if journal.membership.find(replica_id) is None:
        return _refuse(_Reason.NOT_A_MEMBER, replica_id)
    remaining = journal.membership.without_member(replica_id)
    if not remaining.voters:
        return _refuse(_Reason.LAST_VOTER, replica_id)
    return remaining


def _refuse(reason: _Reason, detail: str) -> refusals.ProposalRefused:
    return refusals.ProposalRefused(reason, detail)
