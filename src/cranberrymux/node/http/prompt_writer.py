"""Writes to the socket of a TCP transport without waiting for a poll."""

from typing import Any


def write_now(transport: Any, data: bytes) -> bool:
    """Writes to the socket at once; the transport buffers the remainder.

    `transport.write` alone registers the socket with the poller, sends in the
    next iteration of the reactor and unregisters it again, which costs two
    system calls and one iteration for each small write.

    Args:
        transport: A `twisted.internet.tcp` transport.
        data: Bytes to send after those already buffered.

    Returns:
        False if a send has met an error of the socket. The socket tells of it
        once: a later read may look like the end of an orderly close.
    """
    if (
        transport.dataBuffer
        or transport._tempDataBuffer
        or not transport.connected
    ):
        transport.write(data)
        return True
    sent = transport.writeSomeData(data)
    if sent == len(data):
        return True
    if isinstance(sent, Exception):
        # The transport reads what is still there and then ends by itself.
        transport.write(data)
        return False
    transport.write(data[sent:])
    return transport.doWrite() is None


def has_unsent(transport: Any) -> bool:
    """Returns whether the transport buffers bytes not yet sent."""
    # Twisted has no public name for this.
    return bool(transport.dataBuffer or transport._tempDataBuffer)
