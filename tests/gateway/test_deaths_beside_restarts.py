"""A crashing request whose nodes end while it runs beside them.

Guards against deaths that nobody counts: the node beside the backend server
has ended with its memory of what ran there, so that the request reaches
backend servers more than three times more.
"""

from cranberrymux.decisions.presence import announcement
from tests.gateway import crash_scene

MAXIMUM_LATE_RUNS = 3
CRASH_AFTER_S = 0.6
DOWN_S = 2.0
PAUSE_BEFORE_RESTART_S = 0.2
WRITE = "/write/crash?token=secret"


def run_at_servers(scene, servers):
    """Sends the crashing request until it runs at these servers."""
    network = scene.mesh.network
    for number in range(60):
        running = {run.backend_id for run in scene.crashes.runs}
        if all(f"b-{index}" in running for index in servers):
            return
        index = scene.entries[number % crash_scene.OTHERS]
        scene.ask(WRITE, index, wait=0.01, method="POST")
    raise AssertionError(f"it ran at {running} at {network.seconds()} s")


def restart_nodes(scene, servers):
    """Kills nodes and starts them again; what they knew is lost."""
    scene.mesh.network.run(PAUSE_BEFORE_RESTART_S)
    for index in servers:
        quarantine = scene.mesh.members[index].gateway._parts.quarantine
        quarantine._sender.share = lambda reports, cause: None
        scene.control.restart(index)


def restart_under_harmless_requests(scene):
    for backend in scene.backends:
        backend.work_s = CRASH_AFTER_S
    for index in range(crash_scene.OTHERS):
        scene.ask("/read/slow", index, wait=0.01)
    restart_nodes(scene, scene.servers)


def count_open_deaths(scene, index):
    """Returns the deaths under the crashing request that a node counts."""
    quarantine = scene.mesh.members[index].gateway._parts.quarantine
    return max(
        (record.open_deaths for record in quarantine.records.values()),
        default=0,
    )


def make_scene():
    scene = crash_scene.Scene(
        has_control=True, crash_after_s=CRASH_AFTER_S, down_s=DOWN_S
    )
    for backend in scene.backends:
        backend.is_crashing = lambda call: call.head.method == b"POST"
    scene.run(2)
    return scene


def test_deaths_count_though_the_nodes_beside_them_restarted():
    scene = make_scene()
    run_at_servers(scene, scene.servers[:3])
    restart_nodes(scene, scene.servers)
    scene.run(6)
    assert len(scene.crashes.deaths_s) >= 3
    scene.call(1.4, WRITE, method="POST")
    scene.run(30)
    assert scene.crashes.count_late_runs(WRITE) <= MAXIMUM_LATE_RUNS


def test_a_death_seen_by_several_callers_counts_once():
    scene = make_scene()
    server = scene.servers[0]
    for index in scene.servers[1:]:
        scene.backends[index - crash_scene.OTHERS].end()
    for _ in range(3):
        for index in range(crash_scene.OTHERS):
            scene.ask(WRITE, index, wait=0.01, method="POST")
    restart_nodes(scene, [server])
    scene.run(8)
    counts = {count_open_deaths(scene, index) for index in scene.entries}
    assert counts == {1}


def test_a_restarted_node_alone_is_no_death():
    scene = make_scene()
    restart_under_harmless_requests(scene)
    scene.run(12)
    assert not any(count_open_deaths(scene, index) for index in scene.entries)


def test_a_backend_server_that_leaves_beside_a_restart_is_no_death():
    scene = make_scene()
    restart_under_harmless_requests(scene)
    scene.run(1)
    for index in scene.servers:
        member = scene.mesh.members[index]
        member.announce(announcement.BackendState.DRAINING)
    scene.mesh.network.run(0.5)
    for backend in scene.backends:
        backend.end()
    scene.run(8)
    assert not any(count_open_deaths(scene, index) for index in scene.entries)
