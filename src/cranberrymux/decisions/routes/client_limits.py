"""Size and time limits on client connections."""

from typing import NamedTuple


class ClientLimits(NamedTuple):
    """Size and time limits of one client connection.

    Attributes:
        header_bytes: Maximum size of a request's headers.
        body_bytes: Maximum size of a request's body.
        header_timeout_s: Maximum time until all headers have arrived.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    header_bytes: int = 32_768
    body_bytes: int = 67_108_864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
