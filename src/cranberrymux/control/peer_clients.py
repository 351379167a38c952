"""Connections to the other control instances."""

from typing import Any

from cranberrymux.control import control_settings
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings
from cranberrymux.wire.gen.messages import ttypes


class PeerClients:
    """One connection to each other control instance, by its name."""

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        cluster_key: str,
        reactor: Any,
    ) -> None:
        """Makes the clients; `start` connects them."""
        self._control_id = settings.control_id
        self._clients = {
            one.control_id: control_client.ControlClient(
                control_client_settings.ControlClientSettings(
                    one.address,
                    one.port,
                    cluster_key,
                    timeout_ms=settings.peer_timeout_ms,
                    maximum_backoff_ms=settings.peer_timeout_ms // 4,
                ),
                reactor,
            )
            for one in settings.others
        }

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the other control instances."""
        return tuple(self._clients)

    def start(self) -> None:
        """Connects to all."""
        for client in self._clients.values():
            client.start()

    def stop(self) -> None:
        """Ends all connections."""
        for client in self._clients.values():
            client.stop()

    def find(self, name: str) -> control_client.ControlClient | None:
        """Returns the client of an instance; None if it is not a peer."""
        return self._clients.get(name)

    def deliver(self, name: str, payload: bytes) -> None:
        """Sends a message of the replicated log; it may be lost."""
        client = self._clients.get(name)
        if client is None:
            return
        client.deliver(
            ttypes.PeerMessage(
                sender=self._control_id, recipient=name, payload=payload
            )
        )
