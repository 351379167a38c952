"""Checks that the tests of control instances detect disabled mechanisms.

Each mutant disables one mechanism in all three control instances, which run as
processes, and runs the test that must then fail. A figure of 1 means that the
test failed.
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
    """A mechanism to disable and the test that must detect it.

    Attributes:
        name: Name of the mechanism, part of the figure's name.
        code: Python code that each instance runs at its start to replace the
            mechanism.
        check: The test that must fail; called with the cluster.
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
        "from cranberrymux.control import claim_abandonment as abandonment\n"
        "abandonment.ClaimAbandonment._has_ended = lambda *_: False\n",
        _claims.test_claim_of_a_restarted_or_expired_owner_has_an_unknown_outcome,
    ),
)


def run() -> bool:
    """Runs every mutant; returns True if its test failed for each."""
    all_detected = True
    for mutant in MUTANTS:
        with (
            tempfile.TemporaryDirectory() as folder,
            _cluster.Cluster(folder, mutant=mutant.code) as cluster,
        ):
            _checks.wait_for_voters(cluster)
            detected = _fails(mutant.check, cluster)
        detection = figure.Figure(
            f"control.mechanisms.{mutant.name}.noticed",
            float(detected),
            "tests",
            1.0,
            at_most=False,
        )
        all_detected = detection.print() and all_detected
    return all_detected


def _fails(check: Callable[[Any], None], cluster: Any) -> bool:
    try:
        check(cluster)
    except AssertionError as failure:
        print(f"{check.__name__}: {failure!r}"[:200], file=sys.stderr)
        return True
    return False
