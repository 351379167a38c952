"""Connections to the other control instances."""

from typing import Any

from cranberrymux.control import control_settings
from cranberrymux.control import peer
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings
from cranberrymux.wire.gen.messages import ttypes

BACKOFFS_PER_TIMEOUT = 4


class PeerClients:
    """One connection to each other control instance, by its name."""

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        cluster_key: str,
        reactor: Any,
    ) -> None:
        """Makes the clients; `start` connects them."""
        self._settings = settings
        self._cluster_key = cluster_key
        self._reactor = reactor
        self._is_started = False
        self._peers: dict[str, peer.Peer] = {}
        self._clients: dict[str, control_client.ControlClient] = {}
        for one in settings.other_peers:
            self.learn(one)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the other control instances."""
        return tuple(self._clients)

    @property
    def addresses(self) -> tuple[str, ...]:
        """`ip:port` of the other control instances."""
        return tuple(
            f"{one.address}:{one.port}" for one in self._peers.values()
        )

    def start(self) -> None:
        """Connects to all."""
        self._is_started = True
        for client in self._clients.values():
            client.start()

    def stop(self) -> None:
        """Ends all connections."""
        for client in self._clients.values():
            client.stop()

    def learn(self, one: peer.Peer) -> None:
        """Connects to an instance, unless it is known or this one."""
        is_own = one.control_id == self._settings.control_id
        if is_own or one.control_id in self._clients:
            return
        timeout_ms = self._settings.peer_timeout_ms
        client = control_client.ControlClient(
            control_client_settings.ControlClientSettings(
                one.address,
                one.port,
                self._cluster_key,
                timeout_ms=timeout_ms,
                maximum_backoff_ms=timeout_ms // BACKOFFS_PER_TIMEOUT,
            ),
            self._reactor,
        )
        self._peers[one.control_id] = one
        self._clients[one.control_id] = client
        if self._is_started:
            client.start()

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
                sender=self._settings.control_id,
                recipient=name,
                payload=payload,
            )
        )
