"""An answer of the operators' API."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple


class Response(NamedTuple):
    """A whole answer.

    Attributes:
        status: HTTP status.
        body: The JSON map.
        retry_after_s: Seconds until a retry makes sense; 0 if not said.
    """

    status: int
    body: Mapping[str, Any]
    retry_after_s: float = 0.0
