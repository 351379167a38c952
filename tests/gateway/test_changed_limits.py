"""Limits on the size of requests that change under open connections.

Guards against proper requests that are answered 413 or 431, and large ones
that are taken, on connections that are older than the limits in force.
"""

import pytest

from cranberrymux.decisions.routes import client_limits
from tests.gateway import mesh as mesh_module

ROUTE = mesh_module.make_route("read", "deep")
SMALL = client_limits.ClientLimits(header_bytes=400, body_bytes=1_000)
LARGE = client_limits.ClientLimits(header_bytes=4_000, body_bytes=200_000)
BODY = b"x" * 100_000


@pytest.fixture
def mesh():
    return mesh_module.Mesh("front", "deep")


def send(mesh, client, number, *, headers=(), body=b""):
    """Sends a request on an open connection; returns the last status."""
    headers = [("Request-Id", f"q{number}"), *headers]
    client.send(
        mesh_module.encode("/read/x", method="POST", headers=headers, body=body)
    )
    mesh.network.run(0.05)
    return client.statuses[-1]


def test_higher_limit_on_bodies_holds_for_open_connections(mesh):
    """Guards against 413 for an upload that the configuration allows."""
    mesh.configure(ROUTE, limits=SMALL)
    client = mesh.connect(0)
    assert send(mesh, client, 0) == 200
    mesh.configure(ROUTE, limits=LARGE, label=2)
    assert send(mesh, client, 1, body=BODY) == 200
    assert send(mesh, client, 2, body=BODY) == 200


def test_higher_limit_on_headers_holds_for_open_connections(mesh):
    """Guards against 431 for headers that the configuration allows."""
    mesh.configure(ROUTE, limits=SMALL)
    client = mesh.connect(0)
    assert send(mesh, client, 0) == 200
    mesh.configure(ROUTE, limits=LARGE, label=2)
    assert send(mesh, client, 1, headers=[("X-Long", "y" * 2_000)]) == 200


@pytest.mark.parametrize("status", [413, 431])
def test_lower_limits_hold_for_open_connections(mesh, status):
    mesh.configure(ROUTE, limits=LARGE)
    client = mesh.connect(0)
    assert send(mesh, client, 0, body=BODY) == 200
    mesh.configure(ROUTE, limits=SMALL, label=2)
    assert send(mesh, client, 1) == 200
    if status == 413:
        assert send(mesh, client, 2, body=BODY) == 413
    else:
        headers = [("X-Long", "y" * 2_000)]
        assert send(mesh, client, 2, headers=headers) == 431


def test_limits_change_between_requests_only(mesh):
    """Guards against 413 for a body of which a part has been read."""
    mesh.configure(ROUTE, limits=LARGE)
    client = mesh.connect(0)
    request = mesh_module.encode("/read/x", method="POST", body=BODY)
    client.send(request[:50_000])
    mesh.network.run(0.01)
    mesh.configure(ROUTE, limits=SMALL, label=2)
    client.send(request[50_000:])
    mesh.network.run(0.05)
    assert client.statuses == [200]
