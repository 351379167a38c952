"""Each check of the nodes fails once its mechanism is taken out."""

import json

import pytest

from cranberrymux.node import claimed_call
from cranberrymux.node import ingress
from cranberrymux.node import ingress_calls
from cranberrymux.node import node
from cranberrymux.node import policy_holder
from cranberrymux.node import quarantine_task
from cranberrymux.node import rule_check
from cranberrymux.node import running_call
from cranberrymux.node import version_gate
from cranberrymux.node import vouch_message
from tests.fakes import cluster as clusters
from tests.node import test_call_path as call_path
from tests.node import test_promises as promises


def _once_only_pair(cluster):
    pair = (
        cluster.add("dispatch-0", "dispatch"),
        cluster.add("dispatch-1", "dispatch"),
    )
    cluster.configure(promises.ONCE_ONLY)
    return pair


def _same_id_at_two_nodes(cluster):
    checks = promises.TestAtMostOnce()
    checks.test_same_id_at_two_nodes_runs_once(
        cluster, _once_only_pair(cluster)
    )


def _claim_free_again(cluster):
    checks = promises.TestAtMostOnce()
    checks.test_claim_of_a_call_that_was_not_handed_over_is_free_again(
        cluster, _once_only_pair(cluster)
    )


def _cut_before_the_hand_over(cluster):
    promises.TestRetries().test_cut_before_the_hand_over_is_proven_not_run(
        cluster, cluster.add("caller-0", "caller", calls=["leaf"])
    )


CASES = (
    (
        "joining of resends",
        (ingress_calls.IngressCalls, "find", lambda self, context: None),
        call_path.test_resend_joins_the_running_call_and_gets_its_answer,
    ),
    (
        "claim",
        (
            claimed_call.ClaimedCall,
            "ask",
            lambda self, on_answer: on_answer(None),
        ),
        _same_id_at_two_nodes,
    ),
    (
        "release of a claim",
        (claimed_call.ClaimedCall, "release", lambda self: None),
        _claim_free_again,
    ),
    (
        "place",
        (rule_check, "check", lambda node, rules: None),
        promises.TestPlace().test_no_place_is_not_run,
    ),
    (
        "version gate",
        (
            version_gate.VersionGate,
            "wait",
            lambda self, version, on_ready: on_ready(True),
        ),
        promises.TestConfiguration().test_node_that_cannot_fetch_the_newer_version_refuses,
    ),
    (
        "age of the configuration",
        (policy_holder.PolicyHolder, "is_too_old", lambda self, now_s: False),
        promises.TestConfiguration().test_strict_call_is_refused_once_nobody_vouches,
    ),
    (
        "endpoint of a call",
        (ingress.Ingress, "_is_for_here", lambda self, headers, backend: True),
        call_path.test_call_for_another_endpoint_is_not_run,
    ),
    (
        "end of child calls",
        (running_call.RunningCall, "cancel_children", lambda self: None),
        call_path.test_cancelled_parent_ends_its_child_calls,
    ),
    (
        "wait of a stop",
        (node.Node, "_is_drained", lambda self: True),
        call_path.test_stop_waits_for_the_calls_in_flight,
    ),
    (
        "news of suspects",
        (quarantine_task.QuarantineTask, "hear", lambda self, news: None),
        promises.test_suspect_is_known_to_every_sibling,
    ),
    (
        "vouching",
        (vouch_message, "decode_vouch", lambda body: None),
        _cut_before_the_hand_over,
    ),
)


@pytest.mark.parametrize(
    ("mutation", "check"),
    [(mutation, check) for _, mutation, check in CASES],
    ids=[name for name, _, _ in CASES],
)
def test_check_notices(monkeypatch, mutation, check):
    check(clusters.Cluster())
    where, name, replacement = mutation
    monkeypatch.setattr(where, name, replacement)
    # An answer of a backend server, where a refusal was due, is no JSON.
    with pytest.raises((AssertionError, json.JSONDecodeError)):
        check(clusters.Cluster())
