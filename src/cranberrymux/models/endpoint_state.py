"""Lifecycle states of an endpoint in the directory."""

import enum


class EndpointState(enum.IntEnum):
    """Whether an endpoint accepts new calls.

    Attributes:
        SERVING: Accepts new calls.
        DRAINING: Finishes the calls in flight and accepts no new ones.
        GONE: Has left; kept only as a tombstone, so that older records cannot
            bring the endpoint back.
    """

    SERVING = 1
    DRAINING = 2
    GONE = 3
