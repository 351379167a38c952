"""How far the bytes of an attempt may have travelled."""

import enum


class Reach(enum.Enum):
    """The receiver to which the first byte of an attempt was sent.

    Attributes:
        NOWHERE: No byte was written to a socket, and none will be.
        NODE: The node beside a backend server.
        BACKEND: A backend server.
    """

    NOWHERE = "nowhere"
    NODE = "node"
    BACKEND = "backend"
