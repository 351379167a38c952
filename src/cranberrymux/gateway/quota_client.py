"""Interface of the connection to the owner of the quotas."""

from typing import Any
from typing import Protocol

from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import socket_address
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings

OWNER_TIMEOUT_MS = 400
MAXIMUM_BACKOFF_MS = 100


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


def make(
    settings: gateway_settings.GatewaySettings,
    reactor: Any,
    address: socket_address.SocketAddress,
) -> QuotaClient:
    """Makes a connection that `start` opens.

    Args:
        settings: The gateway's settings.
        reactor: The reactor to use.
        address: Address of the control instance.
    """
    return control_client.ControlClient(
        control_client_settings.ControlClientSettings(
            address.host,
            address.port,
            settings.cluster_key,
            timeout_ms=min(OWNER_TIMEOUT_MS, settings.control_timeout_ms),
            maximum_backoff_ms=MAXIMUM_BACKOFF_MS,
        ),
        reactor,
    )
