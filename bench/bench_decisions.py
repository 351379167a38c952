"""Costs of the decisions of the egress, and what budgets achieve.

Costs are the best of several rounds on the wall clock; the rest runs on
seeds and gives the same figures on every run.
"""

from collections.abc import Callable
import random
import time
import tracemalloc

from bench import figure
from bench import retry_trees
from bench import routing_caller
from cranberrymux.decisions.answers import answer_identity
from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import call_evidence
from cranberrymux.decisions.answers import call_matcher
from cranberrymux.decisions.answers import classifier
from cranberrymux.decisions.answers import reach
from cranberrymux.decisions.answers import tombstone_settings
from cranberrymux.decisions.answers import tombstones
from cranberrymux.decisions.contexts import derivation
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.decisions.retries import allotment_policy
from cranberrymux.decisions.retries import budget_ledger
from cranberrymux.decisions.retries import edge_buckets
from cranberrymux.decisions.retries import ended_attempt
from cranberrymux.decisions.retries import half_allotment
from cranberrymux.decisions.retries import retry_policy
from cranberrymux.decisions.retries import retry_settings
from cranberrymux.decisions.retries import single_allotment
from cranberrymux.decisions.retries import whole_allotment
from cranberrymux.decisions.selectors import parser
from cranberrymux.decisions.selectors import selector
from cranberrymux.models import answer_kind
from cranberrymux.models import refusal_reason

CODEC_BOUND_US = 10.0
ROUTING_BOUND_US = 20.0
ROUNDS = 5
CALLS = 4000
TREE_RUNS = 400
BUDGET = 3
CONTEXT = routing_caller.CONTEXT


def run() -> bool:
    """Prints every figure; returns False if a bound does not hold."""
    figures = [
        *_measure_contexts(),
        *_measure_routing(),
        *_measure_retries(),
        *_measure_answers(),
        *_compare_allotments(),
    ]
    held = [one.print() for one in figures]
    return all(held)


def _cost_us(step: Callable[[], object]) -> float:
    best_s = float("inf")
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        for _ in range(CALLS):
            step()
        best_s = min(best_s, time.perf_counter() - start_s)
    return round(best_s / CALLS * 1e6, 2)


def _cost(
    name: str, step: Callable[[], object], bound_us: float | None = None
) -> figure.Figure:
    return figure.Figure(f"decisions.{name}", _cost_us(step), "us", bound_us)


def _parse(text: str) -> selector.Selector:
    parsed = parser.parse(text)
    assert isinstance(parsed, selector.Selector)
    return parsed


def _measure_contexts() -> list[figure.Figure]:
    value = header_codec.encode(CONTEXT)
    labels = {"region": "r", "store": "a", "path": "/v1/x"}
    chosen = _parse("region = r, store in (a, b), path = /v1/*")
    return [
        _cost(
            "context.encode_and_decode",
            lambda: header_codec.decode(header_codec.encode(CONTEXT)),
            CODEC_BOUND_US,
        ),
        _cost("context.refuse", lambda: header_codec.decode(value + b"x")),
        _cost(
            "context.child",
            lambda: derivation.child_context(CONTEXT, 1, 5.0, 1),
        ),
        _cost("selector.match_3_terms", lambda: chosen.matches(labels)),
    ]


def _measure_routing() -> list[figure.Figure]:
    overloaded = routing_caller.Caller(1, 10)
    overloaded.close_levels()
    records = routing_caller.make_records("s0", 10)
    lines = [
        _cost(
            f"routing.call_{services}_services_of_{endpoints}",
            routing_caller.Caller(services, endpoints).call,
            ROUTING_BOUND_US,
        )
        for services, endpoints in ((1, 10), (1600, 6), (1600, 10), (1, 500))
    ]
    return [
        *lines,
        _cost("routing.shed_at_10", overloaded.shed, ROUTING_BOUND_US),
        _cost(
            "routing.old_news_of_10",
            lambda: overloaded.router.update_endpoints(
                routing_caller.WARM_S, "s0", records
            ),
        ),
        _cost(
            "routing.news_and_call_at_10",
            routing_caller.Caller(1, 10).take_news,
        ),
        _cost(
            "routing.news_and_call_at_500",
            routing_caller.Caller(1, 500).take_news,
        ),
        _measure_memory(),
    ]


def _measure_memory() -> figure.Figure:
    tracemalloc.start()
    router = routing_caller.make_router(100, 10)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(router.services) == 100
    return figure.Figure(
        "decisions.routing.memory_per_endpoint", held // 1000, "bytes"
    )


def _measure_retries() -> list[figure.Figure]:
    settings = retry_settings.RetrySettings()
    edges = edge_buckets.EdgeBuckets(settings)
    ended = ended_attempt.EndedAttempt(
        CONTEXT,
        answer_kind.AnswerKind.NOT_RUN,
        refusal_reason.RefusalReason.OVERLOADED,
        900.0,
        True,
        2,
        True,
        1,
    )

    def use_ledger() -> None:
        ledger = budget_ledger.BudgetLedger(BUDGET)
        share = ledger.allot(0.0, "1.1")
        ledger.give_back("1.1", share)
        ledger.spend()
        ledger.close()

    return [
        _cost("retries.ledger_of_a_call", use_ledger),
        _cost(
            "retries.may_retry",
            lambda: retry_policy.decide_retry(settings, ended),
        ),
        _cost(
            "retries.edge_success", lambda: edges.record_success(0.0, "notes")
        ),
    ]


def _measure_answers() -> list[figure.Figure]:
    evidence = call_evidence.CallEvidence(
        reach.Reach.NODE, 200, True, answer_kind.AnswerKind.DONE
    )
    key = attempt_key.from_context(CONTEXT)
    head = answer_identity.AnswerIdentity(
        CONTEXT.request_id, 1, answer_kind.AnswerKind.DONE
    )
    matcher = call_matcher.CallMatcher()
    memory = tombstones.Tombstones(
        0.0, 1, tombstone_settings.TombstoneSettings()
    )
    numbers = iter(range(10**9))

    def match() -> None:
        ticket = matcher.begin(key)
        matcher.accept(ticket, head, True)
        matcher.end(ticket)

    def hand_over() -> None:
        number = next(numbers)
        memory.hand_over(
            number * 1e-4, attempt_key.AttemptKey("id", "1", number)
        )

    return [
        _cost("answers.classify", lambda: classifier.classify(evidence)),
        _cost("answers.match_a_call", match),
        _cost("answers.hand_over", hand_over),
    ]


def _compare_allotments() -> list[figure.Figure]:
    policies: dict[str, allotment_policy.AllotmentPolicy] = {
        "half": half_allotment.HalfAllotment(),
        "single": single_allotment.SingleAllotment(),
        "whole": whole_allotment.WholeAllotment(),
    }
    lines = []
    highest = 0
    for name, policy in policies.items():
        succeeded, retries = _run_trees(policy)
        highest = max(highest, retries)
        lines.append(
            figure.Figure(
                f"decisions.retries.whole_requests_{name}",
                succeeded,
                "share",
            )
        )
    lines.append(
        figure.Figure(
            "decisions.retries.highest_of_a_request", highest, "retries", BUDGET
        )
    )
    return lines


def _run_trees(policy: allotment_policy.AllotmentPolicy) -> tuple[float, int]:
    """Runs random trees with refusals and a few losses.

    Returns:
        Share of requests that succeeded, and the most retries of one.
    """
    faults = retry_trees.Faults(not_run=0.05, lost=0.01)
    succeeded = 0
    highest = 0
    for seed in range(TREE_RUNS):
        generator = random.Random(seed)
        tree = retry_trees.grow_tree(generator, 4)
        run_of_tree = retry_trees.TreeRun(
            generator,
            faults,
            lambda budget: budget_ledger.BudgetLedger(budget, policy),
        )
        tally = run_of_tree.run(tree, BUDGET)
        succeeded += tally.succeeded
        highest = max(highest, tally.retries)
    return succeeded / TREE_RUNS, highest
