"""Which control instances this node keeps in touch with."""

from collections.abc import Iterable
from typing import Any

from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.models import socket_address
from cranberrymux.node import directory_task
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings

# An instance that no other one names is left after this time without contact.
FORGET_AFTER_S = 10.0
MAXIMUM_BACKOFF_MS = 500


class ControlContacts:
    """Follows the control instances as they come and go."""

    def __init__(
        self, settings: gateway_settings.GatewaySettings, reactor: Any
    ) -> None:
        """Starts with those of the settings."""
        self._settings = settings
        self._reactor = reactor
        self._task: directory_task.DirectoryTask | None = None
        self._clients: dict[str, control_client.ControlClient] = {}
        self._seen_s: dict[str, float] = {}

    def make_first(self, now_s: float) -> list[control_client.ControlClient]:
        """Makes the clients to begin with."""
        for text in self._settings.control_instances:
            self._make(text, now_s)
        return list(self._clients.values())

    def follow(self, task: directory_task.DirectoryTask) -> None:
        """Takes the task that is told of changes."""
        self._task = task

    def learn(self, addresses: Iterable[str], now_s: float) -> None:
        """Takes `ip:port` of instances that are there."""
        for text in addresses:
            if text in self._clients:
                self._seen_s[text] = now_s
                continue
            client = self._make(text, now_s)
            if client is not None and self._task is not None:
                self._task.add(client)

    def forget_lost(self, now_s: float) -> None:
        """Leaves the instances that were out of reach for long."""
        for text, client in list(self._clients.items()):
            if client.is_connected:
                self._seen_s[text] = now_s
            is_old = now_s - self._seen_s[text] > FORGET_AFTER_S
            if is_old and len(self._clients) > 1 and self._task is not None:
                self._task.remove(client)
                del self._clients[text]
                del self._seen_s[text]

    def _make(
        self, text: str, now_s: float
    ) -> control_client.ControlClient | None:
        address = socket_address.parse(text)
        if address is None:
            return None
        client = control_client.ControlClient(
            control_client_settings.ControlClientSettings(
                address.host,
                address.port,
                self._settings.cluster_key,
                timeout_ms=self._settings.control_timeout_ms,
                maximum_backoff_ms=MAXIMUM_BACKOFF_MS,
            ),
            self._reactor,
        )
        self._clients[text] = client
        self._seen_s[text] = now_s
        return client
