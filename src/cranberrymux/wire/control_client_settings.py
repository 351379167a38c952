"""Settings of a connection to one control instance."""

from typing import NamedTuple


class ControlClientSettings(NamedTuple):
    """Address of a control instance, key, timeout and reconnect delays.

    Attributes:
        address: IP address.
        port: TCP port of its Control service.
        cluster_key: The key that all processes of the cluster share.
        timeout_ms: Longest time in milliseconds until a connection opens, and
            until an answer arrives.
        first_backoff_ms: Delay in milliseconds before the first reconnect; it
            doubles with each failure.
        maximum_backoff_ms: Longest delay in milliseconds, but for jitter.
    """

    address: str
    port: int
    cluster_key: str
    timeout_ms: int = 1000
    first_backoff_ms: int = 50
    maximum_backoff_ms: int = 1000
