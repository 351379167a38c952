"""Shows that the checks on real processes fail without their mechanisms.

Each mutant takes one mechanism out of all three control instances and runs
the test that should notice. A figure of 1 says that the test failed.
"""

from collections.abc import Callable
import importlib
import sys
import tempfile
from typing import Any
from typing import NamedTuple

from bench import figure

_cluster: Any = importlib.import_module("tests.control.cluster")
_checks: Any = importlib.import_module("tests.control.checks")
_changes: Any = importlib.import_module("tests.control.test_changes")
_claims: Any = importlib.import_module("tests.control.test_claims")
_cuts: Any = importlib.import_module("tests.control.test_cuts")


class Mutant(NamedTuple):
    """A mechanism taken out.

    Attributes:
        name: Name of the mechanism.
        code: Python that takes it out.
        check: The test that should fail; takes the cluster.
    """

    name: str
    code: str
    check: Callable[[Any], None]


MUTANTS = (
    Mutant(
        "lease",
        "from cranberrymux.control import quorum_log\n"
        "quorum_log.QuorumLog._leased_ms = lambda self, now_s: 500\n"
        "quorum_log.QuorumLog.vouched_ms = lambda self: 500\n",
        _cuts.test_leader_without_quorum_stops_vouching_and_rejects_changes,
    ),
    Mutant(
        "follower-vouching",
        "from cranberrymux.control import vouching\n"
        "vouching.Vouching.vouched_ms = lambda *_: 500\n",
        _changes.test_instance_behind_by_300_changes_vouches_only_for_the_newest,
    ),
    Mutant(
        "resent-change",
        "from cranberrymux.decisions.configuration import ledger\n"
        "ledger.ANSWERS_KEPT = 0\n",
        _changes.test_one_of_two_changes_to_the_same_version_is_accepted,
    ),
    Mutant(
        "resent-claim",
        "from cranberrymux.decisions.claims import claim_ledger as ledger\n"
        "ledger.ClaimLedger._join = (\n"
        "    lambda self, asked, entry, now_ms: self._grant(asked, now_ms))\n",
        _claims.test_concurrent_claims_of_a_call_grant_it_to_one_node,
    ),
    Mutant(
        "founding",
        "from cranberrymux.control import cluster_formation\n"
        "cluster_formation._EMPTY_ANSWER_VALID_S = 1e30\n",
        _changes.check_two_lost_data_folders,
    ),
    Mutant(
        "owner-lease",
        "from cranberrymux.control import node_service\n"
        "node_service.NodeService._has_ended = lambda *_: False\n",
        _claims.test_claim_of_a_restarted_or_expired_owner_has_an_unknown_outcome,
    ),
)


def run() -> bool:
    """Runs every mutant; True if each was noticed."""
    held = True
    for mutant in MUTANTS:
        with (
            tempfile.TemporaryDirectory() as folder,
            _cluster.Cluster(folder, mutant=mutant.code) as cluster,
        ):
            _checks.wait_for_voters(cluster)
            noticed = _fails(mutant.check, cluster)
        one = figure.Figure(
            f"control.mechanisms.{mutant.name}.noticed",
            float(noticed),
            "tests",
            1.0,
            at_most=False,
        )
        held = one.print() and held
    return held


def _fails(check: Callable[[Any], None], cluster: Any) -> bool:
    try:
        check(cluster)
    except AssertionError as noticed:
        print(f"{check.__name__}: {noticed!r}"[:200], file=sys.stderr)
        return True
    return False
