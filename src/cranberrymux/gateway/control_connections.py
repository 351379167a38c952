"""Connections of a gateway to the control instances."""

from collections.abc import Iterable
from typing import Any

from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import socket_address
from cranberrymux.node import directory_task
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings

# Time without contact after which an instance is removed that no other control
# instance lists.
REMOVE_AFTER_S = 10.0
MAXIMUM_BACKOFF_MS = 500


class ControlConnections:
    """Adds and removes connections as control instances start and stop."""

    def __init__(
        self, settings: gateway_settings.GatewaySettings, reactor: Any
    ) -> None:
        """Starts without connections.

        Args:
            settings: The gateway's settings.
            reactor: The reactor to use.
        """
        self._settings = settings
        self._reactor = reactor
        self._task: directory_task.DirectoryTask | None = None
        self._clients: dict[str, control_client.ControlClient] = {}
        self._last_contact_s: dict[str, float] = {}

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return sum(client.is_connected for client in self._clients.values())

    def make_clients(self, now_s: float) -> list[control_client.ControlClient]:
        """Makes one client for each control instance of the settings."""
        for address in self._settings.control_instances:
            self._make_client(address, now_s)
        return list(self._clients.values())

    def get_clients(self) -> list[control_client.ControlClient]:
        """Returns the clients of all control instances known at present."""
        return list(self._clients.values())

    def set_directory_task(self, task: directory_task.DirectoryTask) -> None:
        """Sets the task to which later clients are added."""
        self._task = task

    def add_addresses(self, addresses: Iterable[str], now_s: float) -> None:
        """Adds the control instances that have no connection yet.

        Args:
            addresses: `ip:port` of the control instances known to be running;
                counts as a contact with each.
            now_s: Present time in monotonic seconds.
        """
        for address in addresses:
            if address in self._clients:
                self._last_contact_s[address] = now_s
                continue
            client = self._make_client(address, now_s)
            if client is not None and self._task is not None:
                self._task.add(client)

    def remove_unreachable(self, now_s: float) -> None:
        """Removes instances without contact for `REMOVE_AFTER_S`.

        The last remaining instance is never removed.
        """
        for address, client in list(self._clients.items()):
            if client.is_connected:
                self._last_contact_s[address] = now_s
            is_lost = now_s - self._last_contact_s[address] > REMOVE_AFTER_S
            if is_lost and len(self._clients) > 1 and self._task is not None:
                self._task.remove(client)
                del self._clients[address]
                del self._last_contact_s[address]

    def _make_client(
        self, address: str, now_s: float
    ) -> control_client.ControlClient | None:
        parsed = socket_address.parse(address)
        if parsed is None:
            return None
        client = control_client.ControlClient(
            control_client_settings.ControlClientSettings(
                parsed.host,
                parsed.port,
                self._settings.cluster_key,
                timeout_ms=self._settings.control_timeout_ms,
                maximum_backoff_ms=MAXIMUM_BACKOFF_MS,
            ),
            self._reactor,
        )
        self._clients[address] = client
        self._last_contact_s[address] = now_s
        return client
