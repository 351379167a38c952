"""Client connections from a control instance to the others."""

from collections.abc import Collection
from typing import Any

from cranberrymux.control import control_settings
from cranberrymux.control import peer
from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings
from cranberrymux.wire.gen.messages import ttypes

BACKOFFS_PER_TIMEOUT = 4
FORGET_AFTER_S = 10.0


class PeerClients:
    """Keeps one connection to each other control instance, by its name."""

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        cluster_key: str,
        reactor: Any,
    ) -> None:
        """Creates a client for every other instance in the settings.

        Args:
            settings: This instance's settings.
            cluster_key: Shared key of nodes and control instances.
            reactor: The Twisted reactor to use.
        """
        self._settings = settings
        self._cluster_key = cluster_key
        self._reactor = reactor
        self._is_started = False
        self._peers: dict[str, peer.Peer] = {}
        self._clients: dict[str, control_client.ControlClient] = {}
        self._seen_at_s: dict[str, float] = {}
        for other in settings.other_peers:
            self.add(other)

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the other control instances."""
        return tuple(self._clients)

    @property
    def addresses(self) -> tuple[str, ...]:
        """`ip:port` of the other control instances."""
        return tuple(
            f"{known.address}:{known.port}" for known in self._peers.values()
        )

    def start(self) -> None:
        """Connects to all known instances, and to later ones as they come."""
        self._is_started = True
        for client in self._clients.values():
            client.start()

    def stop(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            client.stop()

    def add(self, other: peer.Peer) -> None:
        """Adds an instance, unless it is known already or is this one."""
        is_own = other.control_id == self._settings.control_id
        if is_own or other.control_id in self._clients:
            return
        timeout_ms = self._settings.peer_timeout_ms
        client = control_client.ControlClient(
            control_client_settings.ControlClientSettings(
                other.address,
                other.port,
                self._cluster_key,
                timeout_ms=timeout_ms,
                maximum_backoff_ms=timeout_ms // BACKOFFS_PER_TIMEOUT,
            ),
            self._reactor,
        )
        self._peers[other.control_id] = other
        self._clients[other.control_id] = client
        if self._is_started:
            client.start()

    def forget_unreachable(
        self, now_s: float, kept_names: Collection[str]
    ) -> None:
        """Forgets instances without a connection for `FORGET_AFTER_S`.

        Those in the settings are kept, since they may be the only way back to
        the others.

        Args:
            now_s: Present time in monotonic seconds.
            kept_names: Names of further instances to keep.
        """
        settings_names = {peer.control_id for peer in self._settings.peers}
        for name in self.names:
            seen_at_s = self._seen_at_s.setdefault(name, now_s)
            is_kept = name in kept_names or name in settings_names
            if is_kept or self.is_connected(name):
                self._seen_at_s[name] = now_s
            elif now_s - seen_at_s > FORGET_AFTER_S:
                self._forget(name)

    def is_connected(self, name: str) -> bool:
        """Returns whether the connection to an instance is open."""
        client = self._clients.get(name)
        return client is not None and client.is_connected

    def find(self, name: str) -> control_client.ControlClient | None:
        """Returns the client of an instance; None if the name is unknown."""
        return self._clients.get(name)

    def find_address(self, name: str) -> str:
        """Returns `ip:port` of an instance; empty if the name is unknown."""
        known = self._peers.get(name)
        return "" if known is None else f"{known.address}:{known.port}"

    def deliver(self, name: str, payload: bytes) -> None:
        """Sends an encoded message of the replicated log; it may be lost."""
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

    def _forget(self, name: str) -> None:
        self._clients.pop(name).stop()
        del self._peers[name]
        del self._seen_at_s[name]
