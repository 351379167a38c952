"""Free TCP ports on loopback."""

import itertools
import os
import socket

# Below the range from which systems take ports of outgoing connections.
_FIRST_PORT = 11000
_PORT_COUNT = 20000
_STEP_PER_PROCESS = 307

_numbers = itertools.count(os.getpid() * _STEP_PER_PROCESS)


def find_free_ports(count: int) -> list[int]:
    """Returns ports that were free a moment ago, each another one."""
    found: list[int] = []
    while len(found) < count:
        port = _FIRST_PORT + next(_numbers) % _PORT_COUNT
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as one:
        try:
            one.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
