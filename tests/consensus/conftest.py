"""A cluster of three on real folders."""

import pytest

from cranberrymux.consensus import member_change
from tests.consensus import cluster as cluster_module


@pytest.fixture
def cluster(tmp_path):
    built = cluster_module.Cluster(tmp_path)
    first = built.instances[0]
    built.act(first, first.driver.found(built.now_s, "cluster", "a:1"))
    built.settle()
    built.run_for(2.0)
    for joining in built.instances[1:]:
        add = member_change.MemberChange(
            cluster_module.ADD, joining.identity, "x:1"
        )
        built.change(first, add)
        built.run_for(0.5)
    yield built
    for one in built.instances:
        one.folder.close()
