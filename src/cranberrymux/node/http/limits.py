"""Size limits of HTTP messages."""

from typing import NamedTuple


class Limits(NamedTuple):
    """What one message may take.

    Attributes:
        target_bytes: Length of the request target.
        header_bytes: Length of all header names and values together.
        header_count: Number of headers.
        body_bytes: Length of a body.
        buffered_bytes: Bodies up to this length are held whole; longer ones
            stream with backpressure.
        pipelined_calls: Calls of one connection that may wait for their turn.
    """

    target_bytes: int = 8192
    header_bytes: int = 32768
    header_count: int = 100
    body_bytes: int = 1 << 30
    buffered_bytes: int = 65536
    pipelined_calls: int = 16
