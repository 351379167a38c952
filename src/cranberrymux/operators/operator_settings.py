"""Settings of an operator's session."""

from typing import NamedTuple


class OperatorSettings(NamedTuple):
    """Whom an operator's session asks and how long it tries.

    Attributes:
        addresses: `ip:port` of each control instance's operators' API.
        timeout_ms: Longest time over all tries of one request.
    """

    addresses: tuple[str, ...]
    timeout_ms: int = 10_000
