"""Settings for the contexts of child calls."""

from typing import NamedTuple


class ContextSettings(NamedTuple):
    """Timeout margin and nesting limit of child calls.

    Attributes:
        hop_margin_ms: Time subtracted from the timeout on each hop, so that
            the answer of a child arrives before its caller times out.
        maximum_depth: Maximum length of a chain of nested calls, counting the
            first call of the request; terminates call loops.
    """

    hop_margin_ms: int = 5
    maximum_depth: int = 16
