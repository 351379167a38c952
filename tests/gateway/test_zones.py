"""Requests that leave their availability zone, on the path of a gateway.

Guards against trees that cross zones back and forth, and against crossings
that operators can neither count nor explain.
"""

import pytest
import structlog

from cranberrymux.gateway import attempts as attempts_module
from cranberrymux.gateway import hop
from cranberrymux.platform import node_program
from tests.gateway import mesh as mesh_module

FULL = 40
SERVICE = "deep"


@pytest.fixture
def mesh():
    """A client's node in z0, one endpoint in z1 and one in z0."""
    mesh = mesh_module.Mesh("front", SERVICE, SERVICE)
    mesh.configure(mesh_module.make_route("read", SERVICE))
    return mesh


def make_attempts(mesh, **context):
    gateway = mesh.members[0].gateway
    route = gateway._routes.table.document.routes[0]
    attempts = attempts_module.Attempts(gateway._parts, route, SERVICE)
    attempts.tree_context = hop.TreeContext(1.0, 1.0)._replace(**context)
    return attempts


def fill(mesh, zone):
    """Lets the endpoints of a zone report far more than their slots."""
    parts = mesh.members[0].gateway._parts
    now_s = parts.clock.now_s()
    for view in parts.endpoints.usable_endpoints(SERVICE):
        if view.record.zone == zone:
            view.note_reported_load(now_s, FULL)


def choose_zones(mesh, count=200, **context):
    """Returns the contexts of requests by the zone that they are sent to."""
    contexts = {}
    for _ in range(count):
        fill(mesh, "z0")
        attempts = make_attempts(mesh, **context)
        endpoint = attempts.choose(mesh.network.seconds())
        sent = hop.decode_tree_context(attempts.headers())
        contexts.setdefault(endpoint.record.zone, set()).add(sent)
        mesh.network.run(0.01)
    return contexts


def test_requests_leave_a_full_zone_and_are_marked(mesh):
    contexts = choose_zones(mesh)
    assert {each.has_left_zone for each in contexts["z1"]} == {True}
    assert {each.has_left_zone for each in contexts.get("z0", ())} <= {False}


def test_calls_of_a_tree_that_left_a_zone_stay_and_keep_the_mark(mesh):
    contexts = choose_zones(mesh, has_left_zone=True)
    assert contexts.keys() == {"z0"}
    assert {each.has_left_zone for each in contexts["z0"]} == {True}
    assert next(iter(contexts["z0"])).for_call().has_left_zone


def test_marked_request_leaves_if_no_endpoint_here_takes_it(mesh):
    parts = mesh.members[0].gateway._parts
    for view in parts.endpoints.usable_endpoints(SERVICE):
        if view.record.zone == "z0":
            view.note_unreachable(parts.clock.now_s())
    attempts = make_attempts(mesh, has_left_zone=True)
    assert attempts.choose(parts.clock.now_s()).record.zone == "z1"


def test_requests_stay_and_are_served_in_calm(mesh):
    for number in range(20):
        headers = [("Request-Id", f"q{number}")]
        assert mesh.ask(0, "/read/x", headers=headers).statuses == [200]
    mesh.network.run(1.1)
    assert read_metric(mesh, "zone_sends_total", "z0") == 20.0
    assert read_metric(mesh, "zone_sends_total", "z1") == 0.0
    assert read_metric(mesh, "zone_share", "z0") == 1.0


def test_operators_see_the_share_and_the_reason(mesh):
    with structlog.testing.capture_logs() as lines:
        choose_zones(mesh)
    line = next(each for each in lines if each["event"] == "zone-shares")
    assert line["service"] == SERVICE
    assert line["own_zone"] == "z0"
    assert line["shares"]["z1"] >= 0.1
    assert line["expected_ms"]["z0"] > line["expected_ms"]["z1"]
    assert line["gains_ms"]["z1"] > 0.0
    mesh.network.run(1.1)
    share = read_metric(mesh, "zone_share", "z1")
    assert share > 0.1
    assert read_metric(mesh, "zone_share", "z0") == pytest.approx(1.0 - share)
    assert read_metric(mesh, "zone_sends_total", "z1") > 0.0


@pytest.mark.parametrize("text", ["-1", "60001", "nan", "ten", "inf"])
def test_invalid_price_is_refused(text):
    with pytest.raises(ValueError):
        node_program._parse_price_ms(text)


def test_price_is_parsed_in_milliseconds():
    assert node_program._parse_price_ms("2.5") == 2.5


def read_metric(mesh, name, zone):
    """Returns the value of a metric; 0.0 if it is not there."""
    text = mesh.members[0].gateway._parts.metrics.encode().decode()
    start = f'cranberrymux_{name}{{service="{SERVICE}",zone="{zone}"}} '
    for line in text.splitlines():
        if line.startswith(start):
            return float(line.removeprefix(start))
    return 0.0
