"""The injected losses and cuts must take away what they say.

Guards against a soak whose losses of power lose nothing and whose cut links
still carry bytes.
"""

import os
import random
import socket
import struct

import pytest

from tests.soak.configuration import disk_faults
from tests.soak.configuration import link_faults
from tests.soak.configuration import markers as markers_module
from tests.soak.configuration import power_loss


@pytest.fixture
def markers(tmp_path):
    return markers_module.Markers(tmp_path / "c1.toml")


@pytest.fixture
def disk(markers):
    return disk_faults.DiskFaults(markers)


def make_folder(tmp_path, disk):
    """Writes a synced file with unsynced bytes, a new one and a renamed one."""
    data = tmp_path / "data"
    data.mkdir()
    for name, synced, unsynced in (
        ("log", b"kept", b"lost"),
        ("new", None, b"lost"),
        ("old", b"first", b""),
        ("partial", b"second", b""),
    ):
        descriptor = os.open(data / name, os.O_CREAT | os.O_WRONLY)
        if synced is not None:
            disk.write(descriptor, synced)
            disk.fdatasync(descriptor)
        disk.write(descriptor, unsynced)
        os.close(descriptor)
    return data


def sync_folder(disk, data):
    descriptor = os.open(data, os.O_RDONLY)
    disk.fsync(descriptor)
    os.close(descriptor)


def test_a_power_loss_keeps_what_was_synced(tmp_path, markers, disk):
    contents = set()
    for seed in range(20):
        data = make_folder(tmp_path, disk)
        power_loss.apply(markers, data, random.Random(seed))
        log = (data / "log").read_bytes()
        contents.add(log)
        assert log.startswith(b"kept")
        for path in data.iterdir():
            path.unlink()
        data.rmdir()
    assert b"kept" in contents
    assert len(contents) > 2


@pytest.mark.parametrize("is_synced", [True, False])
def test_a_power_loss_may_undo_an_unsynced_rename(
    tmp_path, markers, disk, is_synced
):
    contents = set()
    for seed in range(20):
        data = make_folder(tmp_path, disk)
        disk.replace(data / "partial", data / "old")
        if is_synced:
            sync_folder(disk, data)
        power_loss.apply(markers, data, random.Random(seed))
        contents.add((data / "old").read_bytes())
        for path in data.iterdir():
            path.unlink()
        data.rmdir()
    assert contents == ({b"second"} if is_synced else {b"first", b"second"})


def test_a_full_disk_refuses_writes(tmp_path, markers, disk):
    markers.write(disk_faults.FULL)
    with pytest.raises(OSError, match="no space left"):
        make_folder(tmp_path, disk)


def test_a_cut_link_holds_bytes_back(markers):
    faults = link_faults.LinkFaults(markers, "127.0.0.1")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
    sender.sendall(b"early")
    faults._deaf_to = {"127.0.0.1"}
    with pytest.raises(BlockingIOError):
        faults.recv(receiver, 100)
    faults._deaf_to = frozenset()
    sender.sendall(b"late")
    assert faults.recv(receiver, 100) == b"early"
    assert faults.recv(receiver, 100) == b"late"
    sender.close()
    receiver.close()


def test_a_cut_link_holds_bytes_back_after_a_reset(markers):
    faults = link_faults.LinkFaults(markers, "127.0.0.1")
    with socket.create_server(("127.0.0.1", 0)) as listener:
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
    sender.sendall(b"early")
    faults._deaf_to = {"127.0.0.1"}
    with pytest.raises(BlockingIOError):
        faults.recv(receiver, 100)
    sender.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sender.close()
    with pytest.raises(ConnectionResetError):
        faults.recv(receiver, 100)
    with pytest.raises(OSError, match="not connected"):
        receiver.getpeername()
    assert faults.recv(receiver, 100) == b""
    receiver.close()
