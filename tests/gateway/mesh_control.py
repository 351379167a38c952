"""Control instances for a mesh: one shared state, and a link to each node."""

from cranberrymux.wire import codec
from cranberrymux.wire import wire_error
from tests.fakes import control as control_module
from tests.fakes import memory_network


def _send(message):
    """Encodes and decodes a message, as between processes."""
    return codec.decode(type(message), codec.encode(message))


class Link:
    """One node's connection to the control instances.

    Attributes:
        is_cut: True to have every call time out.
        loses_answers: True to have the answers to reports on suspects lost.
        heartbeats: Number of heartbeats that arrived.
    """

    def __init__(self, control):
        self.is_cut = False
        self.loses_answers = False
        self.heartbeats = 0
        self._control = control

    @property
    def is_connected(self):
        return not self.is_cut

    def start(self):
        pass

    def stop(self):
        pass

    async def heartbeat(self, heartbeat):
        if self.is_cut:
            return self._make_timeout()
        self.heartbeats += 1
        heartbeat = _send(heartbeat)
        return await self._control.heartbeat(heartbeat)

    async def report_suspect(self, report):
        if self.is_cut:
            return self._make_timeout()
        answer = await self._control.report_suspect(report)
        return self._make_timeout() if self.loses_answers else answer

    def _make_timeout(self):
        return wire_error.WireError(
            wire_error.WireErrorReason.TIMEOUT, "the link is cut"
        )


class MeshControl:
    """Control instances that every node of a mesh reaches by its own link.

    Attributes:
        control: The state of the control instances.
        links: The link of each node, by the node's index.
    """

    def __init__(self, mesh):
        self._mesh = mesh
        clock = memory_network.VirtualClock(mesh.network)
        self.control = control_module.Control(clock)
        self.control.version = 1
        self.control.document = mesh.text
        self.links = []
        for member in mesh.members:
            self.links.append(Link(self.control))
            self._connect(member, self.links[-1])

    def restart(self, index):
        """Restarts a gateway, which learns everything from here."""
        member = self._mesh.members[index]
        member.restart()
        self._connect(member, self.links[index])
        member.announce_if_up()

    def _connect(self, member, link):
        connections = member.gateway._control_connections
        connections._clients["control"] = link
        connections._last_contact_s["control"] = 0.0
        member.gateway._directory.add(link)
