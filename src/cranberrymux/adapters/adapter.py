"""The interface between an operator's session and its transport."""

from collections.abc import Mapping
from typing import Any
from typing import Protocol

from cranberrymux.adapters import response
from cranberrymux.adapters import transport_error


class Adapter(Protocol):
    """Sends single requests to control instances and provides the clock."""

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> response.Response | transport_error.TransportError:
        """Sends one request and waits for its answer; never raises.

        Args:
            address: `ip:port` of the instance's operators' API.
            method: HTTP method.
            path: Path and query of the URL.
            body: Map to send as JSON; no body if None.

        Returns:
            The answer, whatever its HTTP status, or why there is none.
        """

    async def pause(self, seconds: float) -> None:
        """Waits between two rounds of attempts."""

    def now_s(self) -> float:
        """Returns the time of a monotonic clock, in seconds."""
