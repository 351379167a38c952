"""Encodes and decodes thrift structs with bounded lengths."""

from typing import Any

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from cranberrymux.wire import limits


def create_protocol_factory() -> Any:
    """Returns a thrift protocol factory that bounds strings and containers."""
    return TBinaryProtocol.TBinaryProtocolAcceleratedFactory(
        string_length_limit=limits.MAXIMUM_FRAME_BYTES,
        container_length_limit=limits.MAXIMUM_CONTAINER_ITEMS,
    )


def encode(message: Any) -> bytes:
    """Encodes a thrift struct.

    Args:
        message: An instance of a generated struct.
    """
    buffer = TTransport.TMemoryBuffer()
    message.write(create_protocol_factory().getProtocol(buffer))
    return bytes(buffer.getvalue())


def decode(message_type: Any, payload: bytes) -> Any:
    """Decodes a thrift struct and checks that its required fields are set.

    Args:
        message_type: Class of a generated struct.
        payload: The encoded struct.

    Raises:
        Exception: The bytes are not such a struct; thrift raises errors of
            many types.
    """
    message = message_type()
    message.read(
        create_protocol_factory().getProtocol(TTransport.TMemoryBuffer(payload))
    )
    message.validate()
    return message
