"""What a loss of power leaves of the files of a process that was killed."""

import pathlib
import shutil

from tests.soak.configuration import disk_faults

TORN_SHARE = 0.5


def apply(markers, data, generator):
    """Removes a part of what was not synced; call it after the kill.

    Args:
        markers: `markers.Markers` of the process.
        data: Its data folder.
        generator: `random.Random` that draws what survives.
    """
    if not data.exists():
        return
    disk = disk_faults.Disk.load(markers.journal)
    keeps_content = generator.random() < TORN_SHARE
    for path in sorted(data.rglob("*")):
        if path.is_file():
            _cut(path, disk, generator if keeps_content else None)
    for change in reversed(disk.name_changes):
        if generator.random() < 0.5:
            _undo(change, markers.saved)
    forget(markers)
    _note_all_durable(markers, data)


def forget(markers):
    """Clears the journal, as for a new disk."""
    markers.journal.unlink(missing_ok=True)
    shutil.rmtree(markers.saved, ignore_errors=True)
    markers.saved.mkdir()


def _cut(path, disk, generator):
    """Shortens a file to what was synced, or to a part of what follows."""
    size = path.stat().st_size
    durable = min(disk.durable_bytes.get(str(path), 0), size)
    kept = durable
    if generator is not None:
        kept = generator.randint(durable, size)
    with path.open("r+b") as file:
        file.truncate(kept)


def _undo(change, saved):
    """Undoes a rename or a removal that was not synced."""
    target = pathlib.Path(change.get("target") or change["path"])
    if "source" in change and target.exists():
        target.rename(change["source"])
    if change["saved"] and not target.exists():
        shutil.copyfile(saved / change["saved"], target)


def _note_all_durable(markers, data):
    """Starts a journal in which the remaining bytes are synced."""
    disk_faults.write_journal(
        markers.journal,
        {
            str(path): path.stat().st_size
            for path in data.rglob("*")
            if path.is_file()
        },
    )
