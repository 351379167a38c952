"""An instance that starts while its disk is full waits for room.

Guards against one that ends at each start, again and again, until there is.
"""

import types

import pytest
import structlog.testing

from cranberrymux import storage
from cranberrymux.control import program

FULL = storage.StorageError(storage.StorageFailure.DISK_FULL, "/data", "full")
DAMAGED = storage.StorageError(storage.StorageFailure.CORRUPT, "/data", "bad")


@pytest.fixture
def pauses(monkeypatch):
    taken = []
    clock = types.SimpleNamespace(sleep=taken.append)
    monkeypatch.setattr(program, "time", clock)
    return taken


class Starting(program.Program):
    """A program whose data folder cannot be opened."""

    def __init__(self, *results):
        self._settings = None
        self._events = structlog.get_logger()
        self._results = list(results)

    def _open_folder(self):
        return self._results.pop(0)


def test_a_full_disk_is_tried_again_and_a_damaged_one_is_not(pauses):
    with structlog.testing.capture_logs() as lines:
        assert Starting(FULL, FULL, DAMAGED)._open_log() is None
    assert pauses == [program.OPENING_RETRY_S] * 2
    reasons = [line["reason"] for line in lines]
    assert reasons == ["disk-full", "disk-full", "corrupt"]
