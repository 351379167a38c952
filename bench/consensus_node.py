"""One simulated instance: a disk, a clock, and a replica while it runs."""

from bench import consensus_disk
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import write as write_module


class Node:
    """An instance of the simulated cluster.

    Attributes:
        name: The instance's name.
        incarnation: Counts up with every lost disk.
        disk: What is durable.
        replica: The running replica; None while the instance is down.
        run: Counts up with every start; old events are dropped by it.
        queue: Writes that wait for the disk.
        batch: Writes that the disk is syncing.
        applied_index: Last entry the state machine has.
        digest: The state machine's state.
        led_term: Term that it leads; 0 for none.
        paused_until_s: Until when the process is stopped; real time.
        clock_rate: Rate of its clock against real time.
        clock_offset_s: What its clock showed at the start.
        is_wanted: True if it should be a member.
    """

    def __init__(
        self,
        name: str,
        clock_rate: float,
        disk_class: type[
            consensus_disk.SimulatedDisk
        ] = consensus_disk.SimulatedDisk,
    ) -> None:
        """Starts down, with an empty disk."""
        self.name = name
        self.incarnation = 1
        self._disk_class = disk_class
        self.disk = disk_class(f"{name}@1")
        self.replica: replica_module.Replica | None = None
        self.run = 0
        self.queue: list[write_module.Write] = []
        self.batch: list[write_module.Write] = []
        self.applied_index = 0
        self.digest = 0
        self.led_term = 0
        self.paused_until_s = 0.0
        self.clock_rate = clock_rate
        self.clock_offset_s = 1000.0
        self.is_wanted = True

    def local_s(self, now_s: float) -> float:
        """What this instance's clock shows."""
        return self.clock_offset_s + now_s * self.clock_rate

    def lose_disk(self) -> None:
        """Replaces the disk by an empty one with a new identity."""
        self.incarnation += 1
        self.disk = self._disk_class(f"{self.name}@{self.incarnation}")
