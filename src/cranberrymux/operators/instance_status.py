"""Status answers of control instances."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple


class InstanceStatus(NamedTuple):
    """The answer of one control instance to a status request.

    Attributes:
        address: `ip:port` of the instance's operators' API.
        status: The JSON object it answered; None if the request failed.
        detail: Why the request failed; empty if it did not.
    """

    address: str
    status: Mapping[str, Any] | None
    detail: str = ""
