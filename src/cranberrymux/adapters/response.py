"""HTTP answers of the operators' API."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple


class Response(NamedTuple):
    """One complete HTTP answer of a control instance.

    Attributes:
        status: HTTP status code.
        body: The JSON object of the body.
        retry_after_s: Value of `Retry-After`, seconds; 0 if there is none.
    """

    status: int
    body: Mapping[str, Any]
    retry_after_s: float = 0.0
