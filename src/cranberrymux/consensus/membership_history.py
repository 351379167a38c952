"""Memberships by the log entry that they came by."""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrymux.consensus import codec
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import invariant_error
from cranberrymux.consensus import membership


class _MembershipAt(NamedTuple):
    log_index: int
    members: membership.Membership
    voters: frozenset[str]


class MembershipHistory:
    """The membership in force and those that a truncation brings back."""

    def __init__(self, index: int, members: membership.Membership) -> None:
        """Starts with the membership of a snapshot."""
        self._known = [_MembershipAt(index, members, members.voters)]

    @property
    def current(self) -> membership.Membership:
        """Membership in force: the last one appended."""
        return self._known[-1].members

    @property
    def voters(self) -> frozenset[str]:
        """Replica ids of the voters in force."""
        return self._known[-1].voters

    @property
    def previous_voters(self) -> frozenset[str]:
        """Voters of the membership before; those in force if none is known."""
        return self._known[max(len(self._known) - 2, 0)].voters

    @property
    def current_index(self) -> int:
        """Index of the entry that the membership in force came by."""
        return self._known[-1].log_index

    def reset(self, index: int, members: membership.Membership) -> None:
        """Starts again from a snapshot."""
        self._known = [_MembershipAt(index, members, members.voters)]

    def note(self, entries: Iterable[entry_module.Entry]) -> None:
        """Puts the memberships among appended entries in force."""
        for one in entries:
            if one.kind is not entry_module.EntryKind.MEMBERSHIP:
                continue
            members = codec.decode_membership(one.payload)
            if isinstance(members, codec.DecodeError):
                raise invariant_error.InvariantError(
                    f"membership entry {one.log_index}: {members.detail}"
                )
            self._known.append(
                _MembershipAt(one.log_index, members, members.voters)
            )

    def forget_from(self, index: int) -> None:
        """Goes back to the membership before a dropped entry."""
        while len(self._known) > 1 and self.current_index >= index:
            self._known.pop()

    def forget_before(self, index: int) -> membership.Membership:
        """Drops what was superseded by `index`; returns what was in force."""
        while len(self._known) > 1 and self._known[1].log_index <= index:
            self._known.pop(0)
        return self._known[0].members
