"""Which priorities share a shortage, instead of one bearing it before another.

In strict order, a priority whose call trees need all that fits leaves nothing
to the next one, even where the requests of that need a small part of the work:
nearly all of them are refused for the sake of a few trees.
"""

from collections.abc import Mapping
from typing import NamedTuple

# A priority shares with the ones before it if its requests need less than this
# part of the work of theirs.
SMALL_WORK_RATIO = 0.5


class PriorityDemand(NamedTuple):
    """What the requests of one priority, or of some together, ask for.

    Attributes:
        per_s: Requests a second, above 0.0.
        work: Work a second, above 0.0.
    """

    per_s: float
    work: float

    @property
    def work_per_request(self) -> float:
        """Mean work of a request."""
        return self.work / self.per_s

    def plus(self, other: "PriorityDemand") -> "PriorityDemand":
        """Returns what both ask for together."""
        return PriorityDemand(self.per_s + other.per_s, self.work + other.work)


class _Group(NamedTuple):
    priorities: list[int]
    demand: PriorityDemand


def find(demands: Mapping[int, PriorityDemand]) -> dict[int, int]:
    """Returns the first priority of the group that each priority belongs to.

    A more important priority is in the same group or in an earlier one, so
    that it is never refused more often.

    Args:
        demands: What each priority asks for; 0 is the most important.
    """
    groups: list[_Group] = []
    for priority in sorted(demands):
        group = _Group([priority], demands[priority])
        while groups and _needs_little(group, groups[-1]):
            group = _join(groups.pop(), group)
        groups.append(group)
    return {
        priority: group.priorities[0]
        for group in groups
        for priority in group.priorities
    }


def _needs_little(group: _Group, before: _Group) -> bool:
    limit = SMALL_WORK_RATIO * before.demand.work_per_request
    return group.demand.work_per_request < limit


def _join(before: _Group, group: _Group) -> _Group:
    return _Group(
        before.priorities + group.priorities, before.demand.plus(group.demand)
    )
