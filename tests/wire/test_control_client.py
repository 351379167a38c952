"""The control client against a server on a real connection.

The caller of a control instance must always get an answer or a `WireError` that
says whether the call may have been acted on. Guards against calls that raise or
never end, and connections that stay unusable, after a server refuses, hangs,
disconnects or sends bytes that are no frame.
"""

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.trial import unittest
from zope import interface

from cranberrymux.wire import control_client
from cranberrymux.wire import control_client_settings
from cranberrymux.wire import control_server
from cranberrymux.wire import limits
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import Control
from cranberrymux.wire.gen.messages import ttypes
from tests.control import calls

Reason = wire_error.WireErrorReason


@interface.implementer(Control.Iface)
class ControlHandler:
    def __init__(self):
        self.unanswered = defer.Deferred()

    def heartbeat(self, key, heartbeat):
        if key != "right":
            raise ttypes.Refused(reason="wrong key")
        if heartbeat.node_id == "hold":
            return self.unanswered
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
            ControlHandler(), self.bad_frames.append
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

    async def wait_until_connected(self, client):
        while not client.is_connected:
            await task.deferLater(reactor, 0.005)
        return client

    def start_coroutine(self, coroutine):
        return defer.ensureDeferred(coroutine)

    def test_returns_the_answer_of_the_server(self):
        async def run_calls():
            client = await self.wait_until_connected(self.client)
            heartbeat_message = calls.make_heartbeat(version=7)
            answer = await client.heartbeat(heartbeat_message)
            self.assertEqual(answer.configuration_version, 7)
            self.assertEqual(answer.endpoints, heartbeat_message.endpoints)

        return self.start_coroutine(run_calls())

    def test_call_without_a_connection_returns_not_connected(self):
        async def run_calls():
            client = self.make_client(1)
            answer = await client.heartbeat(calls.make_heartbeat())
            self.assertIs(answer.reason, Reason.NOT_CONNECTED)
            self.assertFalse(answer.was_sent)

        return self.start_coroutine(run_calls())

    def test_wrong_key_returns_refused_with_its_reason(self):
        async def run_calls():
            client = self.make_client(self.port.getHost().port, "wrong")
            await self.wait_until_connected(client)
            answer = await client.heartbeat(calls.make_heartbeat())
            self.assertIs(answer.reason, Reason.REFUSED)
            self.assertIn("wrong key", answer.detail)

        return self.start_coroutine(run_calls())

    def test_message_that_cannot_be_encoded_returns_an_error(self):
        """Guards against a call that raises, after which no other is sent."""

        async def run_calls():
            client = await self.wait_until_connected(self.client)
            for version in (1 << 63, "x"):
                message = calls.make_heartbeat(version=version)
                answer = await client.heartbeat(message)
                self.assertIs(answer.reason, Reason.PROTOCOL)
            answer = await client.heartbeat(calls.make_heartbeat(version=7))
            self.assertEqual(answer.configuration_version, 7)

        return self.start_coroutine(run_calls())

    def test_reconnects_after_a_call_has_timed_out(self):
        async def run_calls():
            client = await self.wait_until_connected(self.client)
            answer = await client.heartbeat(calls.make_heartbeat("hold"))
            self.assertIs(answer.reason, Reason.TIMEOUT)
            self.assertTrue(answer.was_sent)
            while client.is_connected:
                await task.deferLater(reactor, 0.005)
            await self.wait_until_connected(client)
            answer = await client.heartbeat(calls.make_heartbeat())
            self.assertEqual(answer.lease_ms, 1)

        return self.start_coroutine(run_calls())

    def test_aborted_connection_returns_connection_lost_and_reconnects(self):
        async def run_calls():
            client = await self.wait_until_connected(self.client)
            waiting = defer.ensureDeferred(
                client.heartbeat(calls.make_heartbeat("hold"))
            )
            while not self.factory.connections:
                await task.deferLater(reactor, 0.005)
            for connection in list(self.factory.connections):
                connection.transport.abortConnection()
            answer = await waiting
            self.assertIs(answer.reason, Reason.CONNECTION_LOST)
            await self.wait_until_connected(client)

        return self.start_coroutine(run_calls())

    def test_undecodable_answer_returns_connection_lost(self):
        class JunkServer(protocol.Protocol):
            def dataReceived(self, data):  # noqa: N802
                self.transport.write(b"\0\0\0\x04junk")

        async def run_calls():
            factory = protocol.Factory.forProtocol(JunkServer)
            port = self.listen(0, factory)
            client = self.make_client(port.getHost().port)
            await self.wait_until_connected(client)
            answer = await client.heartbeat(calls.make_heartbeat())
            self.assertIs(answer.reason, Reason.CONNECTION_LOST)

        return self.start_coroutine(run_calls())

    def test_frame_over_the_limit_is_reported_and_ends_the_connection(self):
        async def run_calls():
            client = await self.wait_until_connected(self.client)
            name = "x" * (limits.MAXIMUM_FRAME_BYTES + 1)
            heartbeat_message = calls.make_heartbeat(services=[name])
            answer = await client.heartbeat(heartbeat_message)
            self.assertIs(answer.reason, Reason.CONNECTION_LOST)
            self.assertEqual(len(self.bad_frames), 1)

        return self.start_coroutine(run_calls())
