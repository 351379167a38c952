"""The real storage on a faulty file system, as a disk of the simulation."""

from collections.abc import Sequence
import contextlib
import random

from bench import consensus_disk
from bench import consensus_files
from cranberrymux import storage
from cranberrymux.consensus import restored_state
from cranberrymux.consensus import write as write_module

_PATH = "/data"
_SEGMENT_BYTES = 400
_OPERATIONS = 12


class StoredDisk(consensus_disk.SimulatedDisk):
    """Keeps what the files hold, as read back after every power cut."""

    def __init__(self, replica_id: str) -> None:
        """Makes the folder of a replica."""
        super().__init__(replica_id)
        self._files = consensus_files.FaultyFileSystem(
            random.Random(replica_id)
        )
        self._open()

    def sync(self, batch: Sequence[write_module.Write]) -> None:
        """Makes a batch durable."""
        failed = self._folder.apply(batch)
        assert failed is None, failed
        super().sync(batch)

    def tear(
        self, batch: Sequence[write_module.Write], generator: random.Random
    ) -> None:
        """Cuts the power at a random operation of a batch."""
        self._files.generator = generator
        self._files.cut_at = self._files.operations + generator.randint(
            1, _OPERATIONS
        )
        with contextlib.suppress(consensus_files.PowerCutError):
            self._folder.apply(batch)
        self._files.crash()
        self._open()

    def _open(self) -> None:
        name, _, incarnation = self.replica_id.partition("@")
        opened = storage.open_folder(
            _PATH,
            name,
            self._files,
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
        self.entries = {one.log_index: one for one in state.entries}
