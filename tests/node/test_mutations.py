"""Checks that tests of the node can fail.

Each mutation disables one mechanism of the node. The test of that mechanism
must then fail; one that passes regardless would not notice its loss.
"""

import json

import pytest

from cranberrymux.node import claimed_call
from cranberrymux.node import eligibility_check
from cranberrymux.node import ingress
from cranberrymux.node import ingress_calls
from cranberrymux.node import node
from cranberrymux.node import policy_holder
from cranberrymux.node import quarantine_task
from cranberrymux.node import running_call
from cranberrymux.node import version_gate
from cranberrymux.node import vouch_message
from cranberrymux.node.http import answer_matcher
from cranberrymux.node.http import client_connection
from tests.fakes import cluster as clusters
from tests.node import test_call_path as call_path
from tests.node import test_guarantees as guarantees
from tests.node import test_second_answers as second_answers


def _once_only_pair(cluster):
    pair = (
        cluster.add("dispatch-0", "dispatch"),
        cluster.add("dispatch-1", "dispatch"),
    )
    cluster.configure(guarantees.ONCE_ONLY)
    return pair


def _same_id_at_two_nodes(cluster):
    tests = guarantees.TestAtMostOnce()
    tests.test_same_id_at_two_nodes_runs_once(cluster, _once_only_pair(cluster))


def _claim_released(cluster):
    tests = guarantees.TestAtMostOnce()
    tests.test_claim_of_a_call_that_was_not_handed_over_is_released(
        cluster, _once_only_pair(cluster)
    )


def _cut_off_before_the_hand_over(cluster):
    guarantees.TestRetries().test_call_cut_off_before_the_hand_over_is_not_run(
        cluster, cluster.add("caller-0", "caller", calls=["leaf"])
    )


def _second_answer_of_a_node(cluster):
    del cluster
    second_answers.test_second_answer_is_not_the_next_calls(
        second_answers.to_other_node(), "the-same-again", False
    )


def _second_answer_of_a_backend_server(cluster):
    del cluster
    second_answers.test_answer_to_an_earlier_call_of_the_same_request_is_not_taken(
        second_answers.to_backend_server()
    )


MUTATIONS = (
    (
        "resend joins the open call",
        (ingress_calls.IngressCalls, "find", lambda self, context: None),
        call_path.test_resend_of_a_running_call_gets_the_same_answer,
    ),
    (
        "claim before the hand-over",
        (
            claimed_call.ClaimedCall,
            "claim",
            lambda self, on_answer: on_answer(None),
        ),
        _same_id_at_two_nodes,
    ),
    (
        "release of a claim",
        (claimed_call.ClaimedCall, "release", lambda self: None),
        _claim_released,
    ),
    (
        "place of the endpoint",
        (eligibility_check, "check", lambda node, rules: None),
        guarantees.TestPlace().test_request_without_a_matching_endpoint_is_not_run,
    ),
    (
        "wait for the newer version",
        (
            version_gate.VersionGate,
            "wait",
            lambda self, version, on_ready: on_ready(True),
        ),
        guarantees.TestConfiguration().test_call_is_refused_if_the_newer_version_cannot_be_fetched,
    ),
    (
        "age of the configuration",
        (policy_holder.PolicyHolder, "is_stale", lambda self, now_s: False),
        guarantees.TestConfiguration().test_strict_call_is_refused_once_the_version_is_unconfirmed,
    ),
    (
        "check of the addressed endpoint",
        (
            ingress.Ingress,
            "_is_for_this_endpoint",
            lambda self, headers, backend: True,
        ),
        call_path.test_call_for_another_endpoint_is_not_run,
    ),
    (
        "cancellation of child calls",
        (running_call.RunningCall, "cancel_children", lambda self: None),
        call_path.test_cancelled_parent_call_cancels_its_child_calls,
    ),
    (
        "stop waits for open calls",
        (node.Node, "_is_drained", lambda self: True),
        call_path.test_stop_waits_for_the_calls_in_flight,
    ),
    (
        "reports of siblings on suspects",
        (
            quarantine_task.QuarantineTask,
            "_merge",
            lambda self, reports, source: [],
        ),
        guarantees.test_siblings_share_the_deaths_of_a_suspect,
    ),
    (
        "vouch of the callee's node",
        (vouch_message, "decode_vouch", lambda body: None),
        _cut_off_before_the_hand_over,
    ),
    (
        "comparison of an answer's id",
        (
            answer_matcher.AnswerMatcher,
            "find_mismatch",
            lambda self, headers: None,
        ),
        _second_answer_of_a_node,
    ),
    (
        "one sending of a request on a connection",
        (
            client_connection.ClientConnection,
            "has_sent",
            lambda self, identity: False,
        ),
        _second_answer_of_a_backend_server,
    ),
)


@pytest.mark.parametrize(
    ("mutation", "test"),
    [(mutation, test) for _, mutation, test in MUTATIONS],
    ids=[name for name, _, _ in MUTATIONS],
)
def test_fails_without_the_mechanism(monkeypatch, mutation, test):
    test(clusters.Cluster())
    owner, name, replacement = mutation
    monkeypatch.setattr(owner, name, replacement)
    # A backend server's answer in place of the expected refusal is not JSON.
    with pytest.raises((AssertionError, json.JSONDecodeError)):
        test(clusters.Cluster())
