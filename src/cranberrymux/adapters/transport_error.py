"""Failed requests of an adapter, as values."""

from typing import NamedTuple


class TransportError(NamedTuple):
    """Stands for the response to a request that got no usable answer.

    Attributes:
        address: `ip:port` that the request was sent to.
        detail: Cause of the failure, one line for operators.
    """

    address: str
    detail: str
