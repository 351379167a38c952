"""A request that crashes the backend servers that run it.

Guards against repeats without end of such a request (issue 23): it reaches
backend servers at most three times more, over all nodes together, later than
three seconds after its third death.
"""

import pytest

from cranberrymux.decisions.routes import route
from tests.gateway import crashing_backend
from tests.gateway import mesh as mesh_module

SERVERS = 5
OTHERS = 3
MAXIMUM_LATE_RUNS = 3


class Scene:
    """Nodes with and without a backend server of the service, and its callers.

    Attributes:
        mesh: The nodes.
        crashes: What the backend servers saw.
        backends: The backend servers of the service.
        entries: Indexes of all nodes.
    """

    def __init__(self, **crash):
        services = ["front"] * OTHERS + ["deep"] * SERVERS
        self.mesh = mesh_module.Mesh(*services)
        self.mesh.configure(
            mesh_module.make_route("read", "deep"),
            mesh_module.make_route(
                "write", "deep", repeatability=route.Repeatability.ONCE
            ),
        )
        self.crashes = crashing_backend.Crashes()
        self.backends = [
            crashing_backend.CrashingBackend(member, self.crashes, **crash)
            for member in self.mesh.members[OTHERS:]
        ]
        self.entries = range(OTHERS + SERVERS)

    def call(self, per_s, path=crashing_backend.CRASH_PATH, **request):
        return crashing_backend.Caller(
            self.mesh, self.entries, per_s, path, **request
        )

    def run(self, seconds):
        for _ in range(round(seconds)):
            for member in self.mesh.members:
                member.announce_if_up()
            self.mesh.network.run(1.0, step_s=0.002)


@pytest.mark.parametrize("crash_after_s", [0.0, 0.1])
def test_crashing_request_is_sent_at_most_three_times_more(crash_after_s):
    scene = Scene(crash_after_s=crash_after_s)
    scene.call(3.3)
    scene.run(16)
    assert len(scene.crashes.deaths_s) >= 2
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS


def test_other_requests_are_served_beside_a_crashing_request():
    scene = Scene()
    scene.call(3.3)
    others = scene.call(60, "/read/other")
    scene.run(16)
    served, sent = others.count_served_since(13.0)
    assert scene.crashes.count_late_runs() <= MAXIMUM_LATE_RUNS
    assert served == sent > 100
