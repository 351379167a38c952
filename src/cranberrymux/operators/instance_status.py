"""The status of one control instance."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple


class InstanceStatus(NamedTuple):
    """What one control instance answered.

    Attributes:
        address: Whom it was asked of.
        status: Its answer; None if there was none.
        detail: Why there was none.
    """

    address: str
    status: Mapping[str, Any] | None
    detail: str = ""
