"""Orders of events around the replacement of a control instance."""

from collections.abc import Iterator
import enum
import itertools
from typing import NamedTuple

CATCH_UP_S = 1.6
SHORT_GAP_S = 0.05
_MAXIMUM_SLACK_S = 0.01


class Event(enum.Enum):
    """What happens to one instance.

    Attributes:
        START_NEW: An instance with an empty disk and a new name starts.
        END_OLD: An instance ends for good.
        LOSE_DISK: An instance loses power and its disk.
        START_LOST: That instance starts again, with its empty disk.
    """

    START_NEW = "start new"
    END_OLD = "end old"
    LOSE_DISK = "lose disk"
    START_LOST = "start lost"


class Ending(enum.Enum):
    """How the old instance ends.

    Attributes:
        TERM: By SIGTERM: it leaves the members first, or its time runs out.
        KILL: It loses power for good, without notice.
    """

    TERM = "term"
    KILL = "kill"


class Victim(enum.Enum):
    """Which instance an event concerns.

    Attributes:
        LEADER: The leader at that time.
        FOLLOWER: Another instance of the first start.
        NEW: The instance that was added.
    """

    LEADER = "leader"
    FOLLOWER = "follower"
    NEW = "new"


class Case(NamedTuple):
    """One order of events, and the instances that it concerns.

    Attributes:
        voters: Number of instances at the first start.
        order: The events.
        gaps_s: Time between an event and the next, seconds.
        ending: How the old instance ends.
        old: The instance that ends.
        lost: The instance that loses its disk.
        cuts_power: True if all others lose power at the same time, also with
            an old instance that is killed.
        late_messages: True if every fifth message comes late for a while
            before and after each event.
    """

    voters: int
    order: tuple[Event, ...]
    gaps_s: tuple[float, ...]
    ending: Ending
    old: Victim
    lost: Victim
    cuts_power: bool
    late_messages: bool

    @property
    def must_recover(self) -> bool:
        """Whether no more than one disk is lost at once.

        A disk that was lost counts until its instance, or the successor of one
        that ended for good, has run for `CATCH_UP_S`. One that ended without
        notice counts until it was missed for so long.
        """
        lost_at_s = self._time_of(Event.LOSE_DISK)
        ended_at_s = self._time_of(Event.END_OLD)
        if lost_at_s < ended_at_s:
            return self._has_passed(Event.START_LOST, ended_at_s)
        if not self._has_passed(Event.START_NEW, lost_at_s):
            return False
        return self.ending is Ending.TERM or self._has_passed(
            Event.END_OLD, lost_at_s
        )

    def _time_of(self, event: Event) -> float:
        return sum(self.gaps_s[: self.order.index(event)])

    def _has_passed(self, event: Event, at_s: float) -> bool:
        return at_s - self._time_of(event) >= CATCH_UP_S - _MAXIMUM_SLACK_S


def all_cases() -> Iterator[Case]:
    """Yields every order with every choice that makes a difference."""
    gaps = (SHORT_GAP_S, CATCH_UP_S)
    for case in itertools.starmap(
        Case,
        itertools.product(
            (3, 4),
            itertools.permutations(Event),
            itertools.product(gaps, repeat=len(Event) - 1),
            Ending,
            (Victim.LEADER, Victim.FOLLOWER),
            Victim,
            (False, True),
            (False, True),
        ),
    ):
        if _is_possible(case):
            yield case


def _is_possible(case: Case) -> bool:
    place = case.order.index
    if place(Event.START_LOST) < place(Event.LOSE_DISK):
        return False
    needs_new = case.lost is Victim.NEW
    return not needs_new or place(Event.START_NEW) < place(Event.LOSE_DISK)
