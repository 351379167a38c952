"""Nodes of a service whose backend servers end under one request."""

from cranberrymux.decisions.routes import route
from tests.gateway import crashing_backend
from tests.gateway import mesh as mesh_module
from tests.gateway import mesh_control

SERVERS = 5
OTHERS = 3
STEP_S = 0.002


class Scene:
    """Nodes with and without a backend server of the service, and its callers.

    Attributes:
        mesh: The nodes.
        control: The control instances; None without.
        crashes: What the backend servers saw.
        backends: The backend servers of the service.
        entries: Indexes of all nodes.
        servers: Indexes of the nodes beside the service's backend servers.
    """

    def __init__(self, *, has_control=False, **crash):
        services = ["front"] * OTHERS + ["deep"] * SERVERS
        self.mesh = mesh_module.Mesh(*services)
        self.mesh.configure(
            mesh_module.make_route("read", "deep"),
            mesh_module.make_route(
                "write", "deep", repeatability=route.Repeatability.ONCE
            ),
        )
        self.control = None
        if has_control:
            self.control = mesh_control.MeshControl(self.mesh)
        self.crashes = crashing_backend.Crashes()
        self.backends = [
            crashing_backend.CrashingBackend(member, self.crashes, **crash)
            for member in self.mesh.members[OTHERS:]
        ]
        self.entries = range(OTHERS + SERVERS)
        self.servers = range(OTHERS, OTHERS + SERVERS)

    def call(self, per_s, path=crashing_backend.CRASH_PATH, **request):
        return crashing_backend.Caller(
            self.mesh, self.entries, per_s, path, **request
        )

    def run(self, seconds):
        """Lets time pass, in which the servers that run announce themselves."""
        for _ in range(round(seconds)):
            for member in self.mesh.members:
                member.announce_if_up()
            self.mesh.network.run(1.0, step_s=STEP_S)

    def ask(self, path, index=0, wait=0.5, **request):
        """Sends one request with a new id and waits for its answer."""
        number = next(crashing_backend._NUMBERS)
        headers = [("Request-Id", f"one-{number}")]
        return self.mesh.ask(index, path, headers=headers, wait=wait, **request)

    def cut_siblings(self, index):
        """Has all messages of one node to its siblings lost from now on."""
        siblings = self.mesh.members[index].gateway._parts.siblings
        siblings.send = lambda sibling, message: None
        siblings.send_to_neighbors = lambda message: None
