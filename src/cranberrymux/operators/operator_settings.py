"""Settings of an operator's session."""

from typing import NamedTuple


class OperatorSettings(NamedTuple):
    """Addresses and time limit of an operator's session.

    Attributes:
        addresses: `ip:port` of each control instance's operators' API.
        timeout_ms: Limit on all attempts of one request together.
    """

    addresses: tuple[str, ...]
    timeout_ms: int = 10_000
