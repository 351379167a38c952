"""Real nodes on a network in memory, with fake peers under virtual time."""

from twisted.internet import task

from cranberrymux.models import socket_address
from cranberrymux.node import backend_server
from cranberrymux.node import node as node_module
from cranberrymux.node import settings as node_settings
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory
from cranberrymux.settings import loader
from cranberrymux.telemetry import null_sink
from tests.fakes import backend as backend_module
from tests.fakes import control as control_module
from tests.fakes import memory_network
from tests.fakes import raw_client

KEY = "test-cluster-key-0123456789"
_SETTINGS = """
node_id: {name}
region: cascadia
zone: zone-a
address: 127.0.0.1
ingress_port: {port}
egress_port: {egress}
announce_port: 1
control_addresses: ["127.0.0.1:1"]
cluster_key_file: none
heartbeat_ms: 250
backend_lease_ms: 60000
seed: 7
"""


class Member:
    """A node with its fake backend server and its ports."""

    def __init__(self, node, backend, base_port, announcement):
        self.node = node
        self.backend = backend
        self.ingress_port = base_port
        self.egress_port = base_port + 1
        self.announcement = announcement


class Cluster:
    """Nodes, their fake backend servers and one fake control instance."""

    def __init__(self):
        self.network = memory_network.MemoryNetwork()
        self.clock = memory_network.VirtualClock(self.network)
        self.control = control_module.Control(self.clock)
        self.members = {}

    def add(
        self,
        name,
        service,
        answer=None,
        slots=4,
        calls=(),
        labels=None,
        extra="",
        metrics=None,
    ):
        base_port = 1000 + 10 * len(self.members)
        settings_text = (
            _SETTINGS.format(name=name, port=base_port, egress=base_port + 1)
            + extra
        )
        settings = node_settings.make(
            loader.load_text(settings_text, "node.yaml", node_settings.FIELDS)
        )
        node = node_module.Node(
            settings,
            KEY,
            self.network,
            self.clock,
            [self.control],
            metrics or null_sink.NullSink(),
            lambda: None,
        )
        backend = backend_module.Backend(self.network, base_port + 2, answer)
        message_limits = limits.Limits(
            body_bytes=settings.body_limit_bytes,
            buffered_bytes=settings.buffered_body_bytes,
        )
        for port, handler in (
            (base_port, node.ingress),
            (base_port + 1, node.egress),
        ):
            factory = server_factory.ServerFactory(handler, message_limits)
            self.network.listen(port, factory)
        node.directory._loop.clock = self.network
        node.directory.start()
        housekeeping = task.LoopingCall(node.run_housekeeping)
        housekeeping.clock = self.network
        housekeeping.start(0.1)
        announcement = backend_server.BackendServer(
            service,
            socket_address.SocketAddress("127.0.0.1", base_port + 2),
            slots,
            labels or {},
            tuple(calls),
            "",
        )
        member = Member(node, backend, base_port, announcement)
        self.members[name] = member
        self.announce(member)
        self.network.run(0.6)
        return member

    def announce(self, member):
        """Announces the backend server, as a running one does each second."""
        member.node.announce(member.announcement)

    def configure(self, document):
        self.control.version += 1
        self.control.document = document
        self.network.run(0.6)

    def connect(self, port):
        client = raw_client.RawClient()
        self.network.connect(port, client)
        return client

    def ask(self, port, request, seconds=0.05):
        """Sends a request on a new connection and lets virtual time pass.

        Returns:
            The client, which holds what it has received.
        """
        client = self.connect(port)
        client.send(request)
        self.network.run(seconds)
        return client
