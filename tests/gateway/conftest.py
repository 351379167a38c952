"""Fixtures for tests with a backend server that writes raw bytes."""

import pytest

from cranberrymux.decisions.routes import route
from tests.fakes import raw_backend
from tests.gateway import mesh as mesh_module


def make_mesh():
    """Returns a caller's gateway and one with a backend server."""
    made = mesh_module.Mesh("front", "deep")
    made.configure(
        mesh_module.make_route("read", "deep"),
        mesh_module.make_route(
            "write", "deep", repeatability=route.Repeatability.ONCE
        ),
    )
    return made


def make_backend(mesh):
    """Returns the backend server, which writes raw bytes."""
    return raw_backend.RawBackend(mesh.network, mesh.members[1].backend_port)


@pytest.fixture
def mesh():
    return make_mesh()


@pytest.fixture
def backend(mesh):
    return make_backend(mesh)
