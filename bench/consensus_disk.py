"""A disk of the simulated clock that may lose or tear what is not synced."""

from collections.abc import Sequence
import random

from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import snapshot as snapshot_module
from cranberrymux.consensus import write as write_module


class SimulatedDisk:
    """Holds what is durable; a crash keeps a random part of a batch."""

    def __init__(self, replica_id: str) -> None:
        """Starts empty, with a fresh identity."""
        self.replica_id = replica_id
        self.hard_state = write_module.HardState(0, "")
        self.snapshot = snapshot_module.NONE
        self.entries: dict[int, entry_module.Entry] = {}

    def holds(self, one: entry_module.Entry) -> bool:
        """True if the entry is durable here."""
        if one.log_index <= self.snapshot.log_index:
            return True
        found = self.entries.get(one.log_index)
        return found is not None and found.term == one.term

    def sync(self, batch: Sequence[write_module.Write]) -> None:
        """Makes a batch durable."""
        for write in batch:
            for step in self._steps(write):
                self._do(step)

    def tear(
        self, batch: Sequence[write_module.Write], generator: random.Random
    ) -> None:
        """Keeps the steps of a batch up to a random one."""
        steps = [step for write in batch for step in self._steps(write)]
        for step in steps[: generator.randint(0, len(steps))]:
            self._do(step)

    def restore(self) -> restored_state.RestoredState:
        """What a replica finds after a crash."""
        if self._is_superseded():
            self.entries.clear()
        kept = tuple(
            self.entries[index]
            for index in sorted(self.entries)
            if index > self.snapshot.log_index
        )
        return restored_state.RestoredState(
            self.replica_id, self.hard_state, self.snapshot, kept
        )

    def _is_superseded(self) -> bool:
        covered = [x for x in self.entries if x <= self.snapshot.log_index]
        if not covered:
            return False
        last = self.entries.get(self.snapshot.log_index)
        return last is None or last.term != self.snapshot.term

    def _steps(self, write: write_module.Write) -> list[write_module.Write]:
        # One step for each file operation, in the order of `Folder.apply`.
        plain = write_module.Write(write.write_id)
        steps = []
        if write.hard_state is not None:
            steps.append(plain._replace(hard_state=write.hard_state))
        if write.snapshot is not None:
            steps.append(plain._replace(snapshot=write.snapshot))
        if write.replaces_log:
            steps.append(plain._replace(replaces_log=True))
        if write.truncate_from is not None:
            steps.append(plain._replace(truncate_from=write.truncate_from))
        steps += [plain._replace(entries=(one,)) for one in write.entries]
        if write.first_index is not None and not write.replaces_log:
            steps.append(plain._replace(first_index=write.first_index))
        return steps

    def _do(self, step: write_module.Write) -> None:
        if step.hard_state is not None:
            self.hard_state = step.hard_state
        if step.snapshot is not None:
            self.snapshot = step.snapshot
        if step.replaces_log:
            self.entries.clear()
        if step.truncate_from is not None:
            self._drop(lambda index: index >= step.truncate_from)
        for one in step.entries:
            self.entries[one.log_index] = one
        if step.first_index is not None:
            self._drop(lambda index: index < step.first_index)

    def _drop(self, is_dropped) -> None:  # type: ignore[no-untyped-def]
        for index in [x for x in self.entries if is_dropped(x)]:
            del self.entries[index]
