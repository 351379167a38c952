"""The thrift codec that all processes use."""

from typing import Any

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from cranberrymux.wire import limits


def create_factory() -> Any:
    """Returns a protocol factory with bounded texts and lists."""
    return TBinaryProtocol.TBinaryProtocolAcceleratedFactory(
        string_length_limit=limits.MAXIMUM_FRAME_BYTES,
        container_length_limit=limits.MAXIMUM_CONTAINER_ITEMS,
    )


def encode(message: Any) -> bytes:
    """Returns the bytes of one thrift struct."""
    buffer = TTransport.TMemoryBuffer()
    message.write(create_factory().getProtocol(buffer))
    return bytes(buffer.getvalue())


def decode(message_type: Any, payload: bytes) -> Any:
    """Reads one thrift struct.

    Raises:
        Exception: The bytes are no such struct; the codec has many error
            types.
    """
    message = message_type()
    message.read(
        create_factory().getProtocol(TTransport.TMemoryBuffer(payload))
    )
    message.validate()
    return message
