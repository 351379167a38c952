"""A cluster of three control instances that the tests of this folder share."""

import signal

import pytest

from tests.control import checks
from tests.control import cluster as cluster_module


@pytest.fixture(scope="session")
def shared_cluster(tmp_path_factory):
    # So frequent that snapshots are taken during the tests.
    shared = cluster_module.Cluster(
        tmp_path_factory.mktemp("cluster"),
        extra_settings="snapshot_entries: 50\n",
        cuttable=True,
    )
    with shared:
        checks.wait_for_voters(shared)
        yield shared


@pytest.fixture
def cluster(shared_cluster):
    yield shared_cluster
    shared_cluster.heal()
    for instance in shared_cluster.instances:
        if instance.process.poll() is not None:
            instance.start()
        instance.send_signal(signal.SIGCONT)
    checks.wait_for_voters(shared_cluster)
