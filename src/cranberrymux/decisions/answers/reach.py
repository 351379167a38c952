"""How far a call's bytes can have come."""

import enum


class Reach(enum.Enum):
    """Where the first byte of a call went.

    Attributes:
        NOWHERE: No byte was handed to a socket, and none will be.
        NODE: To the node beside a backend server.
        BACKEND: To a backend server.
    """

    NOWHERE = "nowhere"
    NODE = "node"
    BACKEND = "backend"
