"""The membership in force, and earlier ones, by log index."""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrymux.consensus import codec
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import membership


class _MembershipRecord(NamedTuple):
    log_index: int
    members: membership.Membership
    voters: frozenset[str]


class MembershipHistory:
    """Memberships of a log, kept so that a truncation can restore them."""

    def __init__(self, index: int, members: membership.Membership) -> None:
        """Starts with the membership of a snapshot that ends at `index`."""
        self._records = [_MembershipRecord(index, members, members.voters)]

    @property
    def current(self) -> membership.Membership:
        """Membership in force: the last entry appended, committed or not."""
        return self._records[-1].members

    @property
    def voters(self) -> frozenset[str]:
        """Replica ids of the voters in force."""
        return self._records[-1].voters

    @property
    def previous_voters(self) -> frozenset[str]:
        """Voters of the membership before; those in force if none is held."""
        return self._records[max(len(self._records) - 2, 0)].voters

    @property
    def current_index(self) -> int:
        """Index of the log entry, or snapshot, with the membership in force."""
        return self._records[-1].log_index

    def reset(self, index: int, members: membership.Membership) -> None:
        """Replaces all memberships by the one of a snapshot."""
        self._records = [_MembershipRecord(index, members, members.voters)]

    def append(self, entries: Iterable[entry_module.Entry]) -> None:
        """Adds the memberships found among appended entries."""
        for entry in entries:
            if entry.kind is not entry_module.EntryKind.MEMBERSHIP:
                continue
            members = codec.decode_membership(entry.payload)
            if isinstance(members, codec.DecodeError):
                raise invariant_error.InvariantError(
                    f"membership entry {entry.log_index} cannot be decoded:"
                    f" {members.detail}"
                )
            self._records.append(
                _MembershipRecord(entry.log_index, members, members.voters)
            )

    def truncate(self, index: int) -> None:
        """Drops the memberships of entries from `index` on."""
        while len(self._records) > 1 and self.current_index >= index:
            self._records.pop()

    def drop_before(self, index: int) -> membership.Membership:
        """Drops memberships that were superseded at or before `index`.

        Returns:
            The membership that was in force at `index`.
        """
        while len(self._records) > 1 and self._records[1].log_index <= index:
            self._records.pop(0)
        return self._records[0].members
