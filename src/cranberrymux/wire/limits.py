"""Limits of the size of thrift messages between processes."""

MAXIMUM_FRAME_BYTES = 1 << 20
MAXIMUM_CONTAINER_ITEMS = 100_000
