"""Interface of the connection to the owner of the quotas."""

from typing import Any
from typing import Protocol


class QuotaClient(Protocol):
    """Connection to one control instance."""

    def start(self) -> None:
        """Connects, and reconnects whenever the connection ends."""

    def stop(self) -> None:
        """Closes the connection."""

    @property
    def is_connected(self) -> bool:
        """True if a call would be sent now."""

    async def take_quota(self, request: Any) -> Any:
        """Sends a `QuotaRequest`; returns `QuotaAnswer | WireError`."""
