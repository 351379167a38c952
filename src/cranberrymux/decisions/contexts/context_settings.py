"""Settings of the contexts that a node makes for child calls."""

from typing import NamedTuple


class ContextSettings(NamedTuple):
    """How a context changes from a call to its children.

    Attributes:
        hop_margin_ms: Taken from the deadline on each hop, so that the answer
            of a child still finds its caller waiting.
        maximum_depth: Calls below one another in a request; a loop of calls
            ends here.
    """

    hop_margin_ms: int = 5
    maximum_depth: int = 16
