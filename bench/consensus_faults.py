"""Relative frequencies of the faults of a random schedule."""

from typing import NamedTuple


class Faults(NamedTuple):
    """Weights of the faults that a schedule draws from; 0 for never.

    A leader is drawn among the instances in that role, or among all if there
    is none.

    Attributes:
        crash: Power cut of a random instance, restarted later.
        crash_leader: Power cut of a leader, restarted later.
        crash_all: Power cut of all instances at once, restarted one by one.
        lose_disk: Power cut of an instance that restarts with an empty disk.
        cut: Random links cut for a while, each direction by itself.
        isolate: All links of a leader cut for a while, in one direction or
            both.
        cut_leader_link: Messages of a leader to one instance cut for a
            while, and perhaps those of the other direction.
        cut_and_crash_leader: Messages of a leader to all instances but
            one cut, then proposals at that leader, then its power cut.
        pause: Process of a leader paused for a while.
        remove: Member removed and added again later.
        heal_links: All links restored.
        lose_disk_when_all_vote: Power cut of an instance that restarts
            under its name with an empty disk, only while all present instances
            are voters.
        replace: Power cut of an instance for good, and another instance
            started under a new name, only while all present instances are
            voters.
        cut_power_on_commit: Power cut of all instances shortly after the next
            commit of a command; every second time, one of them also loses its
            disk under the condition of `lose_disk_when_all_vote`.
    """

    crash: int = 6
    crash_leader: int = 4
    crash_all: int = 1
    lose_disk: int = 1
    cut: int = 4
    isolate: int = 4
    cut_leader_link: int = 4
    cut_and_crash_leader: int = 3
    pause: int = 3
    remove: int = 1
    heal_links: int = 2
    lose_disk_when_all_vote: int = 0
    replace: int = 0
    cut_power_on_commit: int = 0


FOUNDING = Faults(
    lose_disk=0,
    remove=0,
    lose_disk_when_all_vote=2,
    replace=2,
    cut_power_on_commit=4,
)
