"""Instance of a simulated cluster: its disk, clock and running replica."""

from bench import consensus_simulated_disk
from cranberrymux.consensus import replica as replica_module
from cranberrymux.consensus import write as write_module


class Node:
    """State of one simulated instance, which survives its restarts.

    Attributes:
        name: Name of the instance.
        incarnation: Number of the disk; from 1, one more per lost disk.
        disk: Its durable state.
        replica: The running replica; None while the instance is down.
        run_number: Number of starts and crashes; events of an earlier run are
            ignored.
        queue: Writes that wait for the sync under way to end.
        batch: Writes of the sync under way.
        applied_index: Index of the last entry that the state machine applied.
        digest: Checksum of the state machine's state.
        led_term: Term that it leads; 0 for none.
        paused_until_s: Virtual time at which a paused process goes on.
        clock_rate: Seconds that its clock advances per virtual second.
        clock_offset_s: Reading of its clock at virtual time 0.
        should_be_member: True if it is to be added to the membership.
    """

    def __init__(
        self,
        name: str,
        clock_rate: float,
        disk_class: type[
            consensus_simulated_disk.SimulatedDisk
        ] = consensus_simulated_disk.SimulatedDisk,
    ) -> None:
        """Creates an instance that is down and has an empty disk.

        Args:
            name: Name of the instance.
            clock_rate: Seconds that its clock advances per virtual second.
            disk_class: Class of its disks.
        """
        self.name = name
        self.incarnation = 1
        self._disk_class = disk_class
        self.disk = disk_class(f"{name}@1")
        self.replica: replica_module.Replica | None = None
        self.run_number = 0
        self.queue: list[write_module.Write] = []
        self.batch: list[write_module.Write] = []
        self.applied_index = 0
        self.digest = 0
        self.led_term = 0
        self.paused_until_s = 0.0
        self.clock_rate = clock_rate
        self.clock_offset_s = 1000.0
        self.should_be_member = True

    def local_time_s(self, now_s: float) -> float:
        """Returns the reading of the instance's clock at a virtual time."""
        return self.clock_offset_s + now_s * self.clock_rate

    def lose_disk(self) -> None:
        """Replaces the disk by an empty one with a new replica id."""
        self.incarnation += 1
        self.disk = self._disk_class(f"{self.name}@{self.incarnation}")
