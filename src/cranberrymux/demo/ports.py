"""Choice of free TCP ports on loopback."""

import itertools
import os
import socket

# Below the range from which systems choose the ports of outgoing connections.
_FIRST_PORT = 11000
_PORT_COUNT = 20000
# Processes with adjacent ids begin this many ports apart.
_STEP_PER_PROCESS = 307

_port_offsets = itertools.count(os.getpid() * _STEP_PER_PROCESS)


def find_free_ports(count: int) -> list[int]:
    """Returns distinct ports that are free at the time of the check.

    Another process can bind a port before the caller does. Within a process
    the ports are handed out in turn, so that calls do not return the same port
    until the whole range was used.

    Args:
        count: Number of ports.
    """
    free_ports: list[int] = []
    while len(free_ports) < count:
        port = _FIRST_PORT + next(_port_offsets) % _PORT_COUNT
        if _is_free(port):
            free_ports.append(port)
    return free_ports


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        try:
            listener.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
