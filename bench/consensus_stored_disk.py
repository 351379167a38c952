"""Disk of a simulated replica with the real storage code."""

from collections.abc import Sequence
import contextlib
import random

from bench import consensus_simulated_disk
from bench import faulty_file_system
from cranberrymux import storage
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import write as write_module

_PATH = "/data"
_SEGMENT_BYTES = 400
_MAXIMUM_OPERATIONS_TO_CUT = 12


class StoredDisk(consensus_simulated_disk.SimulatedDisk):
    """Writes to a faulty file system; reads it back after a power cut."""

    def __init__(self, replica_id: str) -> None:
        """Creates the data folder of a replica.

        Args:
            replica_id: Name and incarnation of the replica.
        """
        super().__init__(replica_id)
        self._file_system = faulty_file_system.FaultyFileSystem(
            random.Random(replica_id)
        )
        self._open()

    def sync(self, batch: Sequence[write_module.Write]) -> None:
        """Makes all writes of a batch durable."""
        error = self._folder.apply(batch)
        assert error is None, error
        super().sync(batch)

    def tear(
        self, batch: Sequence[write_module.Write], generator: random.Random
    ) -> None:
        """Cuts the power at a random file operation of a batch.

        Args:
            batch: The writes under way at the power cut.
            generator: Draws the operation and what survives.
        """
        self._file_system.generator = generator
        self._file_system.power_cut_at = (
            self._file_system.operation_count
            + generator.randint(1, _MAXIMUM_OPERATIONS_TO_CUT)
        )
        with contextlib.suppress(faulty_file_system.PowerCutError):
            self._folder.apply(batch)
        self._file_system.crash()
        self._open()

    def _open(self) -> None:
        name, _, incarnation = self.replica_id.partition("@")
        opened = storage.open_folder(
            _PATH,
            name,
            self._file_system,
            incarnation,
            segment_bytes=_SEGMENT_BYTES,
        )
        assert isinstance(opened, storage.Folder), opened
        state = opened.restore()
        assert isinstance(state, restored_state.RestoredState), state
        assert state.replica_id == self.replica_id
        self._folder = opened
        self.hard_state = state.hard_state
        self.snapshot = state.snapshot
        self.entries = {entry.log_index: entry for entry in state.entries}
