"""Limits of the size of thrift messages between processes."""

# Of one command of the replicated log. A configuration of 4 MiB takes about
# 3.9 MiB compressed if most of it are random keys.
MAXIMUM_COMMAND_BYTES = 6 << 20
MAXIMUM_FRAME_BYTES = 8 << 20
MAXIMUM_CONTAINER_ITEMS = 100_000
# Of messages without an answer that wait for a peer that does not read them.
MAXIMUM_UNSENT_BYTES = 2 * MAXIMUM_FRAME_BYTES
