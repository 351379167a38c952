"""Damaged durable files are detected, and a torn tail is truncated.

Guards against a replica that starts without entries, a vote or an identity
that it had acknowledged: a durable file was damaged or lost, and the storage
took it for a write that a power failure had interrupted.
"""

import pytest

from cranberrymux import storage
from tests.storage import folders


def test_damage_to_a_durable_record_is_detected_at_every_fifth_byte():
    size = _segment_size()
    # Damage to the last batch looks like a torn write; see the next test.
    for offset in range(0, size - _last_batch_bytes(), 5):
        files = folders.memory()
        folders.fill("/data", files)
        files.invert_byte("/data/log-00000000000000000001.seg", offset)
        assert folders.reopen_reason(files) is folders.Reason.CORRUPT, offset


def test_damage_to_the_last_batch_is_truncated():
    files = folders.memory()
    folders.fill("/data", files)
    path = "/data/log-00000000000000000001.seg"
    files.invert_byte(path, _segment_size() - 1)
    files.locked.clear()
    report = storage.check("/data", files)
    assert report.is_sound
    assert report.torn_bytes > 0
    assert report.last_index == 8
    state = storage.open_folder("/data", "a", files, "1").restore()
    assert [entry.log_index for entry in state.entries] == list(range(1, 9))


def test_damage_to_an_earlier_segment_is_detected():
    files = folders.memory()
    folders.fill("/data", files, segment_bytes=100)
    path = "/data/log-00000000000000000001.seg"
    files.invert_byte(path, len(files.read(path)) - 1)
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


def test_missing_segment_is_detected():
    files = folders.memory()
    folders.fill("/data", files, segment_bytes=100)
    names = sorted(
        name for name in files.names("/data") if name.endswith("seg")
    )
    files.remove(f"/data/{names[1]}")
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


@pytest.mark.parametrize("name", ["identity", "vote", "snapshot"])
@pytest.mark.parametrize("offset", [0, 6, 8, 17, 20])
def test_damage_to_an_atomic_file_is_detected(name, offset):
    files = folders.memory()
    folder = folders.fill("/data", files)
    folder.apply(folders.WITH_SNAPSHOT)
    files.invert_byte(f"/data/{name}", offset)
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


def test_unknown_format_version_is_rejected():
    files = folders.memory()
    folders.fill("/data", files)
    files.invert_byte("/data/vote", 5)
    assert folders.reopen_reason(files) is folders.Reason.UNKNOWN_VERSION


def test_missing_vote_file_is_detected():
    files = folders.memory()
    folders.fill("/data", files)
    files.remove("/data/vote")
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


def test_missing_identity_of_a_used_folder_is_not_replaced():
    files = folders.memory()
    folders.fill("/data", files)
    files.remove("/data/identity")
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


def _segment_size():
    files = folders.memory()
    folders.fill("/data", files)
    return len(files.read("/data/log-00000000000000000001.seg"))


def _last_batch_bytes():
    return 3 * (12 + 25 + 20)
