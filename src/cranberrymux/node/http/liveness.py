"""Finds connections that went silent without an end."""

import socket
from typing import Any

UNACKNOWLEDGED_MS = 600  # Data that is not acknowledged for longer.
PROBE_AFTER_S = 2
PROBE_INTERVAL_S = 1
PROBES = 2


def watch(transport: Any) -> None:
    """Lets the operating system end a connection whose other side is gone.

    Args:
        transport: A connected `twisted.internet.tcp` transport; others, such
            as those of tests, have no socket and are left as they are.
    """
    handle = getattr(transport, "socket", None)
    if handle is None:
        return
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
        (socket.TCP_KEEPIDLE, PROBE_AFTER_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)
