"""Files by which the soak tells a process which faults to apply to itself."""

import pathlib

from tests.platform import files


class Markers:
    """The marker files of one process, beside its settings file.

    Attributes:
        folder: Folder of the settings, the markers and the journal.
        name: Name of the settings file without its ending.
    """

    def __init__(self, settings):
        settings = pathlib.Path(settings)
        self.folder = settings.parent
        self.name = settings.name.removesuffix(".toml")

    @property
    def journal(self):
        """File of the disk operations that a loss of power may undo."""
        return self.folder / f"disk-{self.name}.jsonl"

    @property
    def saved(self):
        """Folder of files that were replaced or removed without a sync."""
        return self.folder / f"saved-{self.name}"

    def get_path(self, kind):
        return self.folder / f"{kind}-{self.name}"

    def read(self, kind):
        """Returns the text of a marker; None if it is not set."""
        try:
            return self.get_path(kind).read_text()
        except OSError:
            return None

    def write(self, kind, text=""):
        """Sets a marker, at once as a whole."""
        files.write_at_once(self.get_path(kind), text)

    def clear(self, kind):
        self.get_path(kind).unlink(missing_ok=True)
