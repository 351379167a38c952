"""The log lines of a node whose configuration nobody confirms.

Guards against a node that does not hear of changes without a sign of it.
"""

import structlog.testing

from cranberrymux.gateway import confirmation_watch
from tests.gateway import mesh as mesh_module
from tests.gateway import mesh_control


def test_a_late_confirmation_is_logged_once_and_so_is_its_end():
    with structlog.testing.capture_logs() as lines:
        watch = confirmation_watch.ConfirmationWatch(10.0)
        watch.check(11.0, 3, 2)
        watch.check(12.5, 3, 2)
        watch.check(13.0, 3, 0)
        watch.confirm(14.0, 3)
        watch.check(15.0, 3, 2)
    late, confirmed = lines
    assert late["event"] == "configuration-not-confirmed"
    assert late["version"] == 3
    assert late["connected"] == 2
    assert confirmed["event"] == "configuration-confirmed"
    assert confirmed["without_s"] == 4.0


def test_metrics_show_since_when_a_node_hears_nothing():
    mesh = mesh_module.Mesh("front", "deep")
    mesh.configure(mesh_module.make_route("read", "deep"))
    control = mesh_control.MeshControl(mesh)
    gateway = mesh.members[0].gateway
    mesh.run_announced(2.0)
    control.links[0].is_cut = True
    mesh.run_announced(5.0)
    text = gateway._parts.metrics.encode().decode()
    name = "cranberrymux_configuration_confirmed_age_seconds "
    line = next(row for row in text.splitlines() if row.startswith(name))
    assert 4.0 < float(line.removeprefix(name)) < 7.5
