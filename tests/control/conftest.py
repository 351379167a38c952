"""Three control instances that the tests of this folder share."""

import signal

import pytest

from tests.control import checks
from tests.control import cluster as cluster_module


@pytest.fixture(scope="session")
def shared_cluster(tmp_path_factory):
    # Snapshots are frequent, so that the tests meet them.
    made = cluster_module.Cluster(
        tmp_path_factory.mktemp("cluster"),
        more="snapshot_entries: 50\n",
        cuttable=True,
    )
    with made:
        checks.wait_for_voters(made)
        yield made


@pytest.fixture
def cluster(shared_cluster):
    yield shared_cluster
    shared_cluster.heal()
    for one in shared_cluster.instances:
        if one.process.poll() is not None:
            one.start()
        one.send_signal(signal.SIGCONT)
    checks.wait_for_voters(shared_cluster)
