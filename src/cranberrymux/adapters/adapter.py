"""What a session needs of an adapter."""

from collections.abc import Mapping
from typing import Any
from typing import Protocol

from cranberrymux.adapters import response
from cranberrymux.adapters import transport_error


class Adapter(Protocol):
    """Sends one request to one control instance."""

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> response.Response | transport_error.TransportError:
        """Sends a request; never raises.

        Args:
            address: `ip:port` of the operators' API.
            method: HTTP method.
            path: Path with its query.
            body: What to send as JSON.
        """

    async def pause(self, seconds: float) -> None:
        """Waits."""

    def now_s(self) -> float:
        """Monotonic seconds."""
