"""The client answers, times out, is refused and comes back."""

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
from zope import interface

from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings
from cranberrymux.wire import control_server
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import Control
from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls

Reason = wire_error.WireErrorReason


@interface.implementer(Control.Iface)
class Handler:
    def __init__(self):
        self.held = defer.Deferred()

    def heartbeat(self, key, heartbeat):
        if key != "right":
            raise ttypes.Refused(reason="wrong key")
        if heartbeat.node_id == "hold":
            return self.held
        return ttypes.HeartbeatAnswer(
            lease_ms=1,
            directory_epoch="e",
            directory_revision=0,
            whole_directory=True,
            endpoints=list(heartbeat.endpoints),
            configuration_version=heartbeat.configuration_version,
            vouched_ms=0,
        )


class ControlClientTest(unittest.TestCase):
    timeout = 10

    def setUp(self):
        self.bad_frames = []
        self.factory = control_server.ControlServerFactory(
            Handler(), self.bad_frames.append
        )
        self.port = self.listen(0, self.factory)
        self.client = self.make_client(self.port.getHost().port)

    def listen(self, number, factory):
        port = reactor.listenTCP(number, factory, interface="127.0.0.1")
        self.addCleanup(lambda: defer.maybeDeferred(port.stopListening))
        return port

    def make_client(self, port, key="right"):
        client = control_client.ControlClient(
            control_client_settings.ControlClientSettings(
                "127.0.0.1", port, key, timeout_ms=200, first_backoff_ms=10
            ),
            reactor,
        )
        self.addCleanup(self.close, client)
        client.start()
        return client

    async def close(self, client):
        client.stop()
        self.factory.close_connections()
        while client.is_connected or self.factory.connections:
            await task.deferLater(reactor, 0.005)

    async def connected(self, client):
        while not client.is_connected:
            await task.deferLater(reactor, 0.005)
        return client

    def run_async(self, coroutine):
        return defer.ensureDeferred(coroutine)

    def test_is_answered(self):
        async def work():
            client = await self.connected(self.client)
            beat = calls.make_heartbeat(version=7)
            answer = await client.heartbeat(beat)
            self.assertEqual(answer.configuration_version, 7)
            self.assertEqual(answer.endpoints, beat.endpoints)

        return self.run_async(work())

    def test_says_at_once_that_it_is_not_connected(self):
        async def work():
            client = self.make_client(1)
            answer = await client.heartbeat(calls.make_heartbeat())
            self.assertIs(answer.reason, Reason.NOT_CONNECTED)
            self.assertFalse(answer.was_sent)

        return self.run_async(work())

    def test_is_refused_with_a_wrong_key(self):
        async def work():
            client = self.make_client(self.port.getHost().port, "wrong")
            await self.connected(client)
            answer = await client.heartbeat(calls.make_heartbeat())
            self.assertIs(answer.reason, Reason.REFUSED)
            self.assertIn("wrong key", answer.detail)

        return self.run_async(work())

    def test_times_out_and_comes_back(self):
        async def work():
            client = await self.connected(self.client)
            answer = await client.heartbeat(calls.make_heartbeat("hold"))
            self.assertIs(answer.reason, Reason.TIMEOUT)
            self.assertTrue(answer.was_sent)
            while client.is_connected:
                await task.deferLater(reactor, 0.005)
            await self.connected(client)
            answer = await client.heartbeat(calls.make_heartbeat())
            self.assertEqual(answer.lease_ms, 1)

        return self.run_async(work())

    def test_says_that_the_connection_was_lost(self):
        async def work():
            client = await self.connected(self.client)
            waiting = defer.ensureDeferred(
                client.heartbeat(calls.make_heartbeat("hold"))
            )
            while not self.factory.connections:
                await task.deferLater(reactor, 0.005)
            for one in list(self.factory.connections):
                one.transport.abortConnection()
            answer = await waiting
            self.assertIs(answer.reason, Reason.CONNECTION_LOST)
            await self.connected(client)

        return self.run_async(work())

    def test_leaves_a_server_that_answers_junk(self):
        class Junk(protocol.Protocol):
            def dataReceived(self, data):  # noqa: N802
                self.transport.write(b"\0\0\0\x04junk")

        async def work():
            factory = protocol.Factory.forProtocol(Junk)
            port = self.listen(0, factory)
            client = self.make_client(port.getHost().port)
            await self.connected(client)
            answer = await client.heartbeat(calls.make_heartbeat())
            self.assertIs(answer.reason, Reason.CONNECTION_LOST)

        return self.run_async(work())

    def test_a_frame_over_the_bound_ends_the_connection(self):
        async def work():
            client = await self.connected(self.client)
            beat = calls.make_heartbeat(services=["x" * (2 << 20)])
            answer = await client.heartbeat(beat)
            self.assertIs(answer.reason, Reason.CONNECTION_LOST)
            self.assertEqual(len(self.bad_frames), 1)

        return self.run_async(work())
