"""How often a schedule draws each fault."""

from typing import NamedTuple


class Faults(NamedTuple):
    """Weights of the faults that a schedule draws from.

    Attributes:
        crash: Power cut of a random instance, started again later.
        crash_leader: The same for a leader.
        crash_all: Power cut of all instances at once.
        lose_disk: An instance comes back with an empty disk.
        cut: Links cut, each way by itself.
        isolate: A leader's links cut, one way or both.
        deafen: One link of a leader cut, one way or both.
        strand: A leader cut from all but one, then proposals, then a crash.
        pause: A process stopped and continued.
        remove: A member leaves and comes back.
        heal: All links work again.
        wipe: An instance comes back at its address with an empty disk, once
            the last that was lost has been made up for.
        replace: The same, but another instance comes, with another name.
        power_on_accept: Right after a command was accepted all lose power,
            and now and then one its disk.
    """

    crash: int = 6
    crash_leader: int = 4
    crash_all: int = 1
    lose_disk: int = 1
    cut: int = 4
    isolate: int = 4
    deafen: int = 4
    strand: int = 3
    pause: int = 3
    remove: int = 1
    heal: int = 2
    wipe: int = 0
    replace: int = 0
    power_on_accept: int = 0


SEEDED = Faults(lose_disk=0, remove=0, wipe=2, replace=2, power_on_accept=4)
