"""In-memory disk of a simulated replica."""

from collections.abc import Sequence
import random

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot as snapshot_module
from cranberrymux.consensus import write as write_module


class SimulatedDisk:
    """Holds durable state; a crash keeps a random prefix of a batch.

    Attributes:
        replica_id: Identity of the replica that owns the disk.
        hard_state: Durable term and vote.
        snapshot: Durable snapshot; `snapshot.NONE` for none.
        entries: Durable log entries by index.
    """

    def __init__(self, replica_id: str) -> None:
        """Starts empty.

        Args:
            replica_id: Identity that no earlier disk had.
        """
        self.replica_id = replica_id
        self.hard_state = write_module.HardState(0, "")
        self.snapshot = snapshot_module.NONE
        self.entries: dict[int, entry_module.Entry] = {}

    def holds(self, entry: entry_module.Entry) -> bool:
        """Returns whether the entry is durable, in the log or a snapshot."""
        if entry.log_index <= self.snapshot.log_index:
            return True
        found = self.entries.get(entry.log_index)
        return found is not None and found.term == entry.term

    def sync(self, batch: Sequence[write_module.Write]) -> None:
        """Makes all writes of a batch durable."""
        for write in batch:
            for step in self._steps(write):
                self._apply_step(step)

    def tear(
        self, batch: Sequence[write_module.Write], generator: random.Random
    ) -> None:
        """Makes a random number of the first steps of a batch durable.

        Args:
            batch: The writes under way at the power cut.
            generator: Draws the number of steps, from none to all.
        """
        steps = [step for write in batch for step in self._steps(write)]
        for step in steps[: generator.randint(0, len(steps))]:
            self._apply_step(step)

    def restore(self) -> restored_state.RestoredState:
        """Returns the state that a replica starts from after a crash."""
        if self._is_log_superseded():
            self.entries.clear()
        kept = tuple(
            self.entries[index]
            for index in sorted(self.entries)
            if index > self.snapshot.log_index
        )
        return restored_state.RestoredState(
            self.replica_id, self.hard_state, self.snapshot, kept
        )

    def _is_log_superseded(self) -> bool:
        covered = [x for x in self.entries if x <= self.snapshot.log_index]
        if not covered:
            return False
        last = self.entries.get(self.snapshot.log_index)
        return last is None or last.term != self.snapshot.term

    def _steps(self, write: write_module.Write) -> list[write_module.Write]:
        # One step for each file operation, in the order of `Folder.apply`.
        empty_write = write_module.Write(write.write_id)
        steps = []
        if write.hard_state is not None:
            steps.append(empty_write._replace(hard_state=write.hard_state))
        if write.snapshot is not None:
            steps.append(empty_write._replace(snapshot=write.snapshot))
        if write.replaces_log:
            steps.append(empty_write._replace(replaces_log=True))
        if write.truncate_from is not None:
            steps.append(
                empty_write._replace(truncate_from=write.truncate_from)
            )
        steps += [
            empty_write._replace(entries=(entry,)) for entry in write.entries
        ]
        if write.first_index is not None and not write.replaces_log:
            steps.append(empty_write._replace(first_index=write.first_index))
        return steps

    def _apply_step(self, step: write_module.Write) -> None:
        if step.hard_state is not None:
            self.hard_state = step.hard_state
        if step.snapshot is not None:
            self.snapshot = step.snapshot
        if step.replaces_log:
            self.entries.clear()
        if step.truncate_from is not None:
            self._drop_entries(lambda index: index >= step.truncate_from)
        for entry in step.entries:
            self.entries[entry.log_index] = entry
        if step.first_index is not None:
            self._drop_entries(lambda index: index < step.first_index)

    def _drop_entries(self, is_dropped) -> None:  # type: ignore[no-untyped-def]
        for index in [x for x in self.entries if is_dropped(x)]:
            del self.entries[index]
