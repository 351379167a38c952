"""Fixtures for tests with a backend server that writes raw bytes."""

import pytest

from cranberrymux.decisions.routes import route
from tests.fakes import raw_backend
from tests.gateway import mesh as mesh_module


@pytest.fixture
def mesh():
    made = mesh_module.Mesh("front", "deep")
    made.configure(
        mesh_module.make_route("read", "deep"),
        mesh_module.make_route(
            "write", "deep", repeatability=route.Repeatability.ONCE
        ),
    )
    return made


@pytest.fixture
def backend(mesh):
    return raw_backend.RawBackend(mesh.network, mesh.members[1].backend_port)
