"""Bounds on what a client may send."""

from typing import NamedTuple


class ClientLimits(NamedTuple):
    """Bounds of one connection of a client.

    Attributes:
        header_bytes: Greatest size of a request's headers.
        body_bytes: Greatest size of a request's body.
        header_timeout_s: Longest time in which the headers arrive.
        idle_timeout_s: How long an idle connection is kept.
    """

    header_bytes: int = 32_768
    body_bytes: int = 67_108_864
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
