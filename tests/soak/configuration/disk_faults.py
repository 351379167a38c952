"""Faults of the disk and the clock, installed in a control instance's process.

It replaces functions of `os` and `time`. A marker fills the disk, another one
lets syncs hang, a third one steps the time of day. Every sync, rename and
removal is written to a journal, from which `power_loss` learns what survives.
"""

import errno
import itertools
import json
import os
import pathlib
import shutil
import stat
import threading
import time

FULL, STALLED, CLOCK = "full", "stalled", "clock"
POLL_S = 0.05
_SYNC, _CUT, _RENAME, _REMOVE, _FOLDER = (
    "sync",
    "cut",
    "rename",
    "remove",
    "folder",
)


class DiskFaults:
    """Replacements of the functions, each bound to one process's markers."""

    def __init__(self, markers):
        self._markers = markers
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._real = {
            name: getattr(os, name)
            for name in (
                "write",
                "fsync",
                "fdatasync",
                "ftruncate",
                "replace",
                "remove",
            )
        }
        self._offset_s = os.getpid() % 7 - 3
        markers.saved.mkdir(exist_ok=True)

    def install(self):
        """Replaces the functions in this process."""
        for name in self._real:
            setattr(os, name, getattr(self, name))
        real_time, real_time_ns = time.time, time.time_ns
        time.time = lambda: real_time() + self._offset_s
        time.time_ns = lambda: real_time_ns() + int(self._offset_s * 1e9)
        threading.Thread(target=self._watch_clock, daemon=True).start()

    def write(self, descriptor, data):
        if _is_file(descriptor) and self._markers.get_path(FULL).exists():
            # As much as fits, as on a real disk.
            self._real["write"](descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left")
        return self._real["write"](descriptor, data)

    def fsync(self, descriptor):
        self._sync("fsync", descriptor)

    def fdatasync(self, descriptor):
        self._sync("fdatasync", descriptor)

    def ftruncate(self, descriptor, size):
        self._real["ftruncate"](descriptor, size)
        self._note(_CUT, path=_get_path(descriptor), size=size)

    def replace(self, source, target):
        saved = self._save(target)
        self._real["replace"](source, target)
        self._note(_RENAME, source=str(source), target=str(target), saved=saved)

    def remove(self, path):
        saved = self._save(path)
        self._real["remove"](path)
        self._note(_REMOVE, path=str(path), saved=saved)

    def _sync(self, name, descriptor):
        while self._markers.get_path(STALLED).exists():
            time.sleep(POLL_S)
        path = _get_path(descriptor)
        if os.path.isdir(path):
            self._real[name](descriptor)
            self._note(_FOLDER, path=path)
            return
        size = os.fstat(descriptor).st_size
        self._real[name](descriptor)
        self._note(_SYNC, path=path, size=size)

    def _save(self, path):
        """Copies a file that is about to go; returns the name of the copy."""
        if not os.path.exists(path):
            return ""
        name = f"{os.getpid()}-{next(self._numbers)}"
        shutil.copyfile(path, self._markers.saved / name)
        return name

    def _note(self, operation, **fields):
        line = json.dumps({"operation": operation, **fields})
        with self._lock, self._markers.journal.open("a") as journal:
            journal.write(line + "\n")

    def _watch_clock(self):
        base_s = self._offset_s
        while True:
            self._offset_s = base_s + float(self._markers.read(CLOCK) or 0)
            time.sleep(POLL_S)


def _is_file(descriptor):
    """True unless it is a log or the pipe that wakes the program's loop."""
    return descriptor > 2 and stat.S_ISREG(os.fstat(descriptor).st_mode)


def _get_path(descriptor):
    return str(pathlib.Path(f"/proc/self/fd/{descriptor}").readlink())


class Disk:
    """What the journal of a process says about its files.

    Attributes:
        durable_bytes: Size that survives, by path; none for files that were
            never synced.
        name_changes: Renames and removals since the last sync of their folder,
            in order.
    """

    def __init__(self):
        self.durable_bytes = {}
        self.name_changes = []

    @classmethod
    def load(cls, journal):
        """Replays a journal; a last line that a kill cut off is left out."""
        disk = cls()
        if journal.exists():
            for line in journal.read_text().splitlines():
                try:
                    disk._apply(json.loads(line))
                except ValueError:
                    continue
        return disk

    def _apply(self, line):
        operation, path = line["operation"], line.get("path", "")
        if operation == _SYNC:
            self.durable_bytes[path] = line["size"]
        elif operation == _CUT:
            durable = self.durable_bytes.get(path, 0)
            self.durable_bytes[path] = min(durable, line["size"])
        elif operation == _FOLDER:
            self.name_changes = [
                change
                for change in self.name_changes
                if os.path.dirname(change.get("target") or change["path"])
                != path
            ]
        elif operation == _RENAME:
            size = self.durable_bytes.pop(line["source"], 0)
            self.durable_bytes[line["target"]] = size
            self.name_changes.append(line)
        else:
            self.durable_bytes.pop(path, None)
            self.name_changes.append(line)


def write_journal(journal, sizes_bytes):
    """Writes a journal that says that files are synced.

    Args:
        journal: Path of the journal.
        sizes_bytes: Size of each file, by path.
    """
    lines = [
        json.dumps({"operation": _SYNC, "path": path, "size": size})
        for path, size in sizes_bytes.items()
    ]
    journal.write_text("".join(f"{line}\n" for line in lines))
