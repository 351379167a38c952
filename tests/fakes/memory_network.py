"""TCP connections in memory and a virtual clock, for tests of whole nodes."""

from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

DELAY_S = 0.0001


class MemoryTransport:
    """One end of a connection; bytes arrive at the other after `DELAY_S`.

    Attributes:
        received_while_paused: Data received while reading is paused.
    """

    def __init__(self, network):
        self.network = network
        self.protocol = None
        self.peer = None
        self.connected = True
        self.dataBuffer = b""
        self._tempDataBuffer = []
        self.is_paused = False
        self.received_while_paused = []
        self._closed_while_paused = None
        self.producer = None

    def write(self, data):
        if self.connected and data:
            self.network.deliver(self.peer, data)

    def writeSomeData(self, data):
        self.write(data)
        return len(data)

    def doWrite(self):
        pass

    def setTcpNoDelay(self, enabled):
        pass

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def pauseProducing(self):
        self.is_paused = True

    def resumeProducing(self):
        self.is_paused = False
        received_while_paused, self.received_while_paused = (
            self.received_while_paused,
            [],
        )
        for data in received_while_paused:
            self.network.deliver(self, data)
        if self._closed_while_paused is not None:
            self.network.callLater(
                DELAY_S, self.receive_close, self._closed_while_paused
            )

    def loseConnection(self):
        # As with Twisted, what is written before the loop goes on is sent.
        self.network.callLater(0, self._close)

    def _close(self):
        if self.connected:
            self.network.close(self, error.ConnectionDone())

    def abortConnection(self):
        self.network.close(self, error.ConnectionAborted())

    def receive(self, data):
        if not self.connected:
            return
        if self.is_paused:
            self.received_while_paused.append(data)
        else:
            self.protocol.dataReceived(data)

    def receive_close(self, reason):
        """Reports that the peer has closed, behind what is still unread."""
        if self.is_paused:
            self._closed_while_paused = reason
        else:
            self.report_lost(reason)

    def report_lost(self, reason):
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(failure.Failure(reason))


class MemoryPort:
    """A listening port, as `listenTCP` returns it."""

    def __init__(self, network, port, factory):
        self.network = network
        self.port = port
        self.factory = factory

    def stopListening(self):
        """Closes the port unless another process listens there by now."""
        if self.network.factories.get(self.port) is self.factory:
            del self.network.factories[self.port]


class MemoryNetwork(task.Clock):
    """A reactor with virtual time, whose connections stay in memory.

    Attributes:
        factories: Server factories of the listening ports, by port.
        transports: Both ends of every connection made so far.
        refusing_ports: Listening ports that refuse new connections.
        is_stopped: True once `stop` was called.
        connect_delays_s: Time that `connectTCP` takes, by port, where it is
            not `DELAY_S`.
    """

    def __init__(self):
        super().__init__()
        self.factories = {}
        self.transports = []
        self.refusing_ports = set()
        self.is_stopped = False
        self.connect_delays_s = {}

    def listen(self, port, factory):
        self.factories[port] = factory

    def listenTCP(self, port, factory, backlog=50, interface=""):
        self.listen(port, factory)
        return MemoryPort(self, port, factory)

    def callFromThread(self, function, *arguments):
        self.callLater(0, function, *arguments)

    def stop(self):
        self.is_stopped = True

    def stop_listening(self, port):
        """Closes a port and its connections, as the end of its process does."""
        del self.factories[port]
        for transport in list(self.transports):
            if transport.port == port and transport.connected:
                transport.peer.report_lost(error.ConnectionLost())
                transport.report_lost(error.ConnectionLost())

    def connectTCP(self, host, port, factory, timeout=30):
        delay_s = self.connect_delays_s.get(port, DELAY_S)
        self.callLater(delay_s, self._connect, port, factory)

    def connect(self, port, protocol):
        """Connects a client's protocol to a listening port without delay."""
        server = self.factories[port].buildProtocol(None)
        ends = MemoryTransport(self), MemoryTransport(self)
        for end, other, end_protocol in (
            (ends[0], ends[1], protocol),
            (ends[1], ends[0], server),
        ):
            end.peer = other
            end.port = port
            end.protocol = end_protocol
            end_protocol.transport = end
            self.transports.append(end)
        server.connectionMade()
        protocol.connectionMade()

    def deliver(self, transport, data):
        self.callLater(DELAY_S, transport.receive, data)

    def close(self, transport, reason):
        """Ends a connection; its peer sees a reset after an abort."""
        seen = error.ConnectionDone()
        if isinstance(reason, error.ConnectionAborted):
            seen = error.ConnectionLost()
        self.callLater(DELAY_S, transport.peer.receive_close, seen)
        self.callLater(0, transport.report_lost, reason)

    def run(self, seconds, step_s=0.0005):
        """Advances virtual time in steps, and runs the timers that are due."""
        for _ in range(round(seconds / step_s)):
            self.advance(step_s)

    def _connect(self, port, factory):
        if port not in self.factories or port in self.refusing_ports:
            refused = failure.Failure(error.ConnectionRefusedError())
            factory.clientConnectionFailed(None, refused)
            return
        self.connect(port, factory.buildProtocol(None))


class VirtualClock:
    """Implements `node.clock.Clock` with the virtual time of a network."""

    START_UNIX_MS = 1_800_000_000_000

    def __init__(self, network):
        self._network = network

    def now_s(self):
        return self._network.seconds()

    def now_unix_ms(self):
        return self.START_UNIX_MS + int(self._network.seconds() * 1000)
