"""Messages to a control instance that reads nothing have a bound in bytes.

Guards against a leader whose memory grows while a member that it sends a
snapshot is frozen or cut off, and against a connection that stays useless or
open after that.
"""

from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest

from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings
from cranberrymux.wire import limits
from cranberrymux.wire.gen.messages import ttypes

PAYLOAD_BYTES = 1 << 20
# More than the bound and what the kernel holds for a connection.
MESSAGES = 60
POLL_S = 0.005


class FrozenPeer(protocol.Protocol):
    """Reads nothing until it is thawed."""

    def connectionMade(self):
        self.factory.peers.append(self)
        self.transport.pauseProducing()

    def dataReceived(self, data):
        self.factory.received_bytes += len(data)

    def connectionLost(self, reason):
        self.factory.peers.remove(self)


class UnsentMessagesTest(unittest.TestCase):
    timeout = 20

    def setUp(self):
        self.factory = protocol.Factory.forProtocol(FrozenPeer)
        self.factory.peers = []
        self.factory.received_bytes = 0
        port = reactor.listenTCP(0, self.factory, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        self.client = control_client.ControlClient(
            control_client_settings.ControlClientSettings(
                "127.0.0.1", port.getHost().port, "key"
            ),
            reactor,
        )
        self.client.start()
        self.addCleanup(self.close)

    async def close(self):
        self.client.stop()
        for peer in list(self.factory.peers):
            peer.transport.abortConnection()
        while self.client.is_connected or self.factory.peers:
            await task.deferLater(reactor, POLL_S)

    async def wait_until(self, check):
        while not check():
            await task.deferLater(reactor, POLL_S)

    def deliver(self):
        return self.client.deliver(
            ttypes.PeerMessage(
                sender="a", recipient="b", payload=b"x" * PAYLOAD_BYTES
            )
        )

    async def send_to_frozen_peer(self):
        await self.wait_until(
            lambda: self.client.is_connected and self.factory.peers
        )
        sent = 0
        for _ in range(MESSAGES):
            sent += self.deliver()
            await task.deferLater(reactor, 0)
        return sent

    async def test_messages_beyond_the_bound_are_dropped(self):
        """Guards against memory that grows until the peer is back."""
        sent = await self.send_to_frozen_peer()
        frames = limits.MAXIMUM_UNSENT_BYTES // PAYLOAD_BYTES
        self.assertGreaterEqual(sent, frames)
        self.assertLess(sent, MESSAGES)
        (peer,) = self.factory.peers
        peer.transport.resumeProducing()
        await self.wait_until(
            lambda: self.factory.received_bytes > sent * PAYLOAD_BYTES
        )
        self.assertTrue(self.deliver())

    async def test_connection_closes_once_a_frozen_peer_reads_again(self):
        await self.send_to_frozen_peer()
        self.client.stop()
        (peer,) = self.factory.peers
        peer.transport.resumeProducing()
        await self.wait_until(lambda: not self.factory.peers)
        self.assertFalse(self.client.is_connected)
