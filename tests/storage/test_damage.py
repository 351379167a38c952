"""Damage to durable files is found, a torn end is cut off."""

import pytest

from cranberrymux import storage
from tests.storage import folders


def test_damage_to_a_durable_record_is_found_at_every_byte():
    size = _segment_size()
    # The last batch cannot be told from a torn write; see the next test.
    for offset in range(0, size - _last_batch_bytes(), 5):
        files = folders.memory()
        folders.fill("/data", files)
        files.damage("/data/log-00000000000000000001.seg", offset)
        assert folders.reopen_reason(files) is folders.Reason.CORRUPT, offset


def test_damage_to_the_last_batch_is_cut_off():
    files = folders.memory()
    folders.fill("/data", files)
    path = "/data/log-00000000000000000001.seg"
    files.damage(path, _segment_size() - 1)
    files.locked.clear()
    report = storage.check("/data", files)
    assert report.is_sound
    assert report.torn_bytes > 0
    assert report.last_index == 8
    state = storage.open_folder("/data", "a", files, "1").restore()
    assert [x.log_index for x in state.entries] == list(range(1, 9))


def test_damage_to_an_earlier_segment_is_found():
    files = folders.memory()
    folders.fill("/data", files, segment_bytes=100)
    first = "/data/log-00000000000000000001.seg"
    files.damage(first, len(files.read(first)) - 1)
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


def test_missing_segment_is_found():
    files = folders.memory()
    folders.fill("/data", files, segment_bytes=100)
    names = sorted(x for x in files.names("/data") if x.endswith("seg"))
    files.remove(f"/data/{names[1]}")
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


@pytest.mark.parametrize("name", ["identity", "vote", "snapshot"])
@pytest.mark.parametrize("offset", [0, 6, 8, 17, 20])
def test_damage_to_a_small_file_is_found(name, offset):
    files = folders.memory()
    folder = folders.fill("/data", files)
    folder.apply(folders.WITH_SNAPSHOT)
    files.damage(f"/data/{name}", offset)
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


def test_later_format_is_refused():
    files = folders.memory()
    folders.fill("/data", files)
    files.damage("/data/vote", 5)
    assert folders.reopen_reason(files) is folders.Reason.UNKNOWN_VERSION


def test_lost_vote_file_is_found():
    files = folders.memory()
    folders.fill("/data", files)
    files.remove("/data/vote")
    assert folders.reopen_reason(files) is folders.Reason.CORRUPT


def test_lost_identity_is_not_replaced():
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
