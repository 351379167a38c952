"""A snapshot is written without a copy of its data, and read with one.

Guards against a data folder that multiplies the memory of a large state.
"""

import tracemalloc

import pytest

from cranberrymux import storage
from cranberrymux.consensus import membership
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write

DATA_BYTES = 4 << 20
# Ratio of the data, for all other memory.
TOLERANCE = 0.1


@pytest.fixture
def traced():
    tracemalloc.start()
    yield
    tracemalloc.stop()


def measure_copies(call):
    """Returns the result and the peak of new memory as a ratio of the data."""
    tracemalloc.reset_peak()
    before, _ = tracemalloc.get_traced_memory()
    result = call()
    _, peak = tracemalloc.get_traced_memory()
    return result, (peak - before) / DATA_BYTES


def test_a_snapshot_is_written_without_and_read_with_one_copy(tmp_path, traced):
    path = str(tmp_path / "data")
    folder = storage.open_folder(path, "a")
    folder.restore()
    data = b"0123456789abcdef" * (DATA_BYTES // 16)
    taken = snapshot.Snapshot(5, 1, membership.EMPTY, data)
    change = write.Write(
        1, write.HardState(1, "a@1"), snapshot=taken, first_index=6
    )
    error, copies = measure_copies(lambda: folder.apply((change,)))
    assert error is None
    assert copies < TOLERANCE
    folder.close()
    reopened = storage.open_folder(path, "a")
    state, copies = measure_copies(reopened.restore)
    reopened.close()
    assert state.snapshot == taken
    # What is read, and its data without the header.
    assert copies < 2 + TOLERANCE
