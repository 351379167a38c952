"""Detects connections whose peer vanished without closing them."""

import socket
from typing import Any

# Longest time that sent data may stay unacknowledged. A receiver that reads
# nothing for so long counts as vanished, too.
MAXIMUM_UNACKNOWLEDGED_MS = 600
# The same for a body whose receiver may let its sender wait, for a slot or for
# a slow backend server. Its deadline ends most requests before.
MAXIMUM_PAUSED_MS = 60_000
# Idle time until the first keepalive probe.
PROBE_AFTER_S = 2
PROBE_INTERVAL_S = 1
# Unanswered probes after which the connection ends.
PROBE_COUNT = 2


def tolerate_pauses(transport: Any, is_tolerated: bool) -> None:
    """Lets a receiver pause for long, or no longer.

    Args:
        transport: A transport for which `enable` was called.
        is_tolerated: True from the beginning of a long body to its end.
    """
    handle = getattr(transport, "socket", None)
    if handle is None:
        return
    limit_ms = MAXIMUM_PAUSED_MS if is_tolerated else MAXIMUM_UNACKNOWLEDGED_MS
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def enable(transport: Any) -> None:
    """Makes the operating system end a connection whose peer vanished.

    Sets TCP keepalive and the TCP user timeout on the socket.

    Args:
        transport: A connected `twisted.internet.tcp` transport; one without a
            socket, as in tests, is left unchanged.
    """
    handle = getattr(transport, "socket", None)
    if handle is None:
        return
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, MAXIMUM_UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
