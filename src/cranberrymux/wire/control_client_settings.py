"""Settings of a connection to one control instance."""

from typing import NamedTuple


class ControlClientSettings(NamedTuple):
    """Where a control instance is and how long to wait for it.

    Attributes:
        address: IP number.
        port: TCP port for peers.
        cluster_key: The shared key.
        timeout_ms: Longest wait for an answer, and for a connection.
        first_backoff_ms: Pause after the first failed connection.
        maximum_backoff_ms: The pause doubles up to this.
    """

    address: str
    port: int
    cluster_key: str
    timeout_ms: int = 1000
    first_backoff_ms: int = 50
    maximum_backoff_ms: int = 1000
