"""Data folders with known content, and the reasons why others fail."""

import random

from bench import faulty_file_system
from cranberrymux import storage
from cranberrymux.consensus import entry
from cranberrymux.consensus import membership
from cranberrymux.consensus import snapshot
from cranberrymux.consensus import write

Reason = storage.StorageFailure


def entries(first, last):
    return tuple(
        entry.Entry(index, 1, entry.EntryKind.COMMAND, b"p" * 20)
        for index in range(first, last + 1)
    )


BATCHES = (
    (write.Write(1, write.HardState(1, "a@1"), entries=entries(1, 3)),),
    (write.Write(2, entries=entries(4, 6)),),
    (write.Write(3, entries=entries(7, 9)),),
)
WITH_SNAPSHOT = (
    write.Write(
        4,
        snapshot=snapshot.Snapshot(5, 1, membership.EMPTY, b"s"),
        first_index=5,
    ),
)


def fill(path, files=None, segment_bytes=1 << 20):
    folder = storage.open_folder(path, "a", files, "1", segment_bytes)
    assert isinstance(folder, storage.Folder), folder
    folder.restore()
    for batch in BATCHES:
        assert folder.apply(batch) is None
    return folder


def memory():
    return faulty_file_system.FaultyFileSystem(random.Random(0))


def reason(result):
    assert isinstance(result, storage.StorageError), result
    return result.reason


def reopen_reason(files):
    files.locked.clear()
    opened = storage.open_folder("/data", "a", files, "1")
    if isinstance(opened, storage.StorageError):
        return opened.reason
    return reason(opened.restore())
