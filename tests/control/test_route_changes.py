"""Routing configurations that a control instance commits.

Guards against one that is committed and that no node can load.
"""

import types

import pytest
from twisted.internet import defer
from twisted.internet import task

from cranberrymux.control import route_changes
from cranberrymux.decisions.routes import packed_document
from tests.control import test_large_configuration
from tests.gateway import mesh

ROUTES = 50


class Log:
    """The log of a leader; tests expect that nothing is proposed."""

    def vouched_ms(self):
        return 1000

    def role(self):
        return "leader"


@pytest.fixture
def changes():
    parts = types.SimpleNamespace(
        log=Log(),
        machine=test_large_configuration.make_machine(),
        reactor=task.Clock(),
    )
    return route_changes.RouteChanges(parts)


# Guards against a compressed text that nodes refuse for its size.
def test_configuration_larger_than_nodes_load_is_refused(changes, monkeypatch):
    monkeypatch.setattr(packed_document, "MAXIMUM_SECTION_BYTES", 1000)
    routes = [mesh.make_route(f"r{n}", "s") for n in range(ROUTES)]
    putting = changes.put(mesh.make_document(*routes), 0, "change-1")
    result = defer.Deferred.fromCoroutine(putting).result
    assert result.verdict is route_changes.PutVerdict.TOO_LARGE
    assert "limit 1000" in result.detail
