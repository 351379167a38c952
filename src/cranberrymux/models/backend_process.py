"""Identity of one process of a backend server."""

from typing import NamedTuple


class BackendProcess(NamedTuple):
    """One process of a backend server.

    Attributes:
        backend_id: Id of the backend server, which a restarted one may keep.
        started_ms: Its start time in Unix milliseconds; 0 if it is not known.
    """

    backend_id: str
    started_ms: int

    def may_be(self, other: "BackendProcess") -> bool:
        """Returns True unless the two are certainly different processes."""
        return self.backend_id == other.backend_id and (
            self.started_ms == other.started_ms
            or not self.started_ms
            or not other.started_ms
        )
