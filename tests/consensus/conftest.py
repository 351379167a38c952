"""Fixture of a formed cluster of three voters on real data folders."""

import pytest

from cranberrymux.consensus import member_change
from tests.consensus import cluster as cluster_module


@pytest.fixture
def cluster(tmp_path):
    built = cluster_module.Cluster(tmp_path)
    founder = built.instances[0]
    built.act(
        founder, founder.driver.found_cluster(built.now_s, "cluster", "a:1")
    )
    built.settle()
    built.run_for(2.0)
    for joining in built.instances[1:]:
        add = member_change.MemberChange(
            cluster_module.ADD, joining.identity, "x:1"
        )
        built.change(founder, add)
        built.run_for(0.5)
    yield built
    for instance in built.instances:
        instance.folder.close()
