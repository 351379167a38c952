"""Writes to a TCP transport without waiting for the next poll."""

from typing import Any


def write_now(transport: Any, data: bytes) -> None:
    """Sends bytes now; what the socket does not take, the transport keeps.

    `transport.write` alone registers the socket with the poller, sends in the
    next round and unregisters it again, which costs two system calls and one
    round for each small write.

    Args:
        transport: A connected `twisted.internet.tcp` transport.
        data: The bytes.
    """
    if has_unsent(transport) or not transport.connected:
        transport.write(data)
        return
    sent = transport.writeSomeData(data)
    if isinstance(sent, Exception):
        # The transport finds the loss itself and tells its protocol.
        sent = 0
    if sent < len(data):
        transport.write(data[sent:])
        transport.doWrite()


def has_unsent(transport: Any) -> bool:
    """True if the transport holds bytes that the socket has not taken."""
    # Twisted tells this by no public name.
    return bool(transport.dataBuffer or transport._tempDataBuffer)
