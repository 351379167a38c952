"""Limits on the requests that a server connection reads."""

from typing import NamedTuple


class Limits(NamedTuple):
    """Limits on the size of one request and on pipelining.

    Attributes:
        target_bytes: Longest request target; beyond it the answer is 414.
        header_bytes: Most bytes of all header names and values together;
            beyond it the answer is 431.
        header_count: Most headers; beyond it the answer is 431.
        body_bytes: Longest body; beyond it the answer is 413.
        buffered_bytes: Longest body that is read whole before the call is
            handled; longer ones are streamed with backpressure.
        holds_waiting_bodies: True to leave the rest of a longer body with its
            sender until the call is sent on, for handlers whose calls wait.
        concurrent_calls: Most calls of one connection that are handled at a
            time; further ones are not read until one is answered.
    """

    target_bytes: int = 8192
    header_bytes: int = 32768
    header_count: int = 100
    body_bytes: int = 1 << 30
    buffered_bytes: int = 65536
    holds_waiting_bodies: bool = False
    concurrent_calls: int = 8
