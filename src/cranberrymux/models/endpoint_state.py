"""The life cycle of an endpoint as the directory tells it."""

import enum


class EndpointState(enum.IntEnum):
    """What new work an endpoint takes.

    Attributes:
        SERVING: Takes new work.
        DRAINING: Finishes what is in flight and takes no new work.
        GONE: Has left; kept only as a tombstone against older news.
    """

    SERVING = 1
    DRAINING = 2
    GONE = 3
