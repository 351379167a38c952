"""Processor costs of the egress's decisions, and effects of retry budgets.

A cost is the wall-clock time per call in the fastest of several rounds. The
simulations of retry budgets are seeded and give the same figures on every run.
"""

from collections.abc import Callable
import random
import time
import tracemalloc

from bench import figure
from bench import retry_trees
from bench import routing_caller
from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import call_evidence
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
CALLS_PER_ROUND = 4000
TREE_COUNT = 400
RETRY_BUDGET = 3
CONTEXT = routing_caller.CONTEXT


def run() -> bool:
    """Prints every figure; returns True if all bounds hold."""
    figures = [
        *_measure_contexts(),
        *_measure_routing(),
        *_measure_retries(),
        *_measure_answers(),
        *_compare_allotments(),
    ]
    results = [measured.print() for measured in figures]
    return all(results)


def _measure_cost_us(operation: Callable[[], object]) -> float:
    best_s = float("inf")
    for _ in range(ROUNDS):
        start_s = time.perf_counter()
        for _ in range(CALLS_PER_ROUND):
            operation()
        best_s = min(best_s, time.perf_counter() - start_s)
    return round(best_s / CALLS_PER_ROUND * 1e6, 2)


def _measure_cost(
    name: str, operation: Callable[[], object], bound_us: float | None = None
) -> figure.Figure:
    return figure.Figure(
        f"decisions.{name}", _measure_cost_us(operation), "us", bound_us
    )


def _parse_selector(text: str) -> selector.Selector:
    parsed = parser.parse(text)
    assert isinstance(parsed, selector.Selector)
    return parsed


def _measure_contexts() -> list[figure.Figure]:
    encoded = header_codec.encode(CONTEXT)
    labels = {"region": "r", "store": "a", "path": "/v1/x"}
    place = _parse_selector("region = r, store in (a, b), path = /v1/*")
    return [
        _measure_cost(
            "context.encode_and_decode",
            lambda: header_codec.decode(header_codec.encode(CONTEXT)),
            CODEC_BOUND_US,
        ),
        _measure_cost(
            "context.refuse", lambda: header_codec.decode(encoded + b"x")
        ),
        _measure_cost(
            "context.child",
            lambda: derivation.child_context(CONTEXT, 1, 5.0, 1),
        ),
        _measure_cost("selector.match_3_terms", lambda: place.matches(labels)),
    ]


def _measure_routing() -> list[figure.Figure]:
    overloaded = routing_caller.Caller(1, 10)
    overloaded.report_low_levels()
    records = routing_caller.make_records("s0", 10)
    call_costs = [
        _measure_cost(
            f"routing.call_{services}_services_of_{endpoints}",
            routing_caller.Caller(services, endpoints).make_call,
            ROUTING_BOUND_US,
        )
        for services, endpoints in ((1, 10), (1600, 6), (1600, 10), (1, 500))
    ]
    return [
        *call_costs,
        _measure_cost(
            "routing.shed_at_10", overloaded.make_refused_call, ROUTING_BOUND_US
        ),
        _measure_cost(
            "routing.old_news_of_10",
            lambda: overloaded.router.update_endpoints(
                routing_caller.AFTER_SLOW_START_S, "s0", records
            ),
        ),
        _measure_cost(
            "routing.news_and_call_at_10",
            routing_caller.Caller(1, 10).update_and_call,
        ),
        _measure_cost(
            "routing.news_and_call_at_500",
            routing_caller.Caller(1, 500).update_and_call,
        ),
        _measure_router_memory(),
    ]


def _measure_router_memory() -> figure.Figure:
    tracemalloc.start()
    router = routing_caller.make_router(100, 10)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(router.services) == 100
    return figure.Figure(
        "decisions.routing.memory_per_endpoint",
        allocated_bytes // 1000,
        "bytes",
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
        ledger = budget_ledger.BudgetLedger(RETRY_BUDGET)
        share = ledger.allot(0.0, "1.1")
        ledger.give_back("1.1", share)
        ledger.spend()
        ledger.close()

    return [
        _measure_cost("retries.ledger_of_a_call", use_ledger),
        _measure_cost(
            "retries.may_retry",
            lambda: retry_policy.decide_retry(settings, ended),
        ),
        _measure_cost(
            "retries.edge_success", lambda: edges.record_success(0.0, "notes")
        ),
    ]


def _measure_answers() -> list[figure.Figure]:
    evidence = call_evidence.CallEvidence(
        reach.Reach.NODE, 200, True, answer_kind.AnswerKind.DONE
    )
    attempt_tombstones = tombstones.Tombstones(
        0.0, 1, tombstone_settings.TombstoneSettings()
    )
    attempt_numbers = iter(range(10**9))

    def hand_over() -> None:
        attempt = next(attempt_numbers)
        attempt_tombstones.hand_over(
            attempt * 1e-4, attempt_key.AttemptKey("id", "1", attempt)
        )

    return [
        _measure_cost(
            "answers.classify", lambda: classifier.classify(evidence)
        ),
        _measure_cost("answers.hand_over", hand_over),
    ]


def _compare_allotments() -> list[figure.Figure]:
    policies: dict[str, allotment_policy.AllotmentPolicy] = {
        "half": half_allotment.HalfAllotment(),
        "single": single_allotment.SingleAllotment(),
        "whole": whole_allotment.WholeAllotment(),
    }
    figures = []
    highest_retries = 0
    for name, policy in policies.items():
        succeeded, retries = _simulate_trees(policy)
        highest_retries = max(highest_retries, retries)
        figures.append(
            figure.Figure(
                f"decisions.retries.whole_requests_{name}",
                succeeded,
                "share",
            )
        )
    figures.append(
        figure.Figure(
            "decisions.retries.highest_of_a_request",
            highest_retries,
            "retries",
            RETRY_BUDGET,
        )
    )
    return figures


def _simulate_trees(
    policy: allotment_policy.AllotmentPolicy,
) -> tuple[float, int]:
    """Runs seeded call trees with 5% of attempts refused and 1% lost.

    Args:
        policy: Splits the retry budget among child calls.

    Returns:
        Share of requests that succeeded, 0 to 1, and the highest number of
        retries of one request.
    """
    faults = retry_trees.FaultProbabilities(not_run=0.05, lost=0.01)
    succeeded = 0
    highest_retries = 0
    for seed in range(TREE_COUNT):
        generator = random.Random(seed)
        tree = retry_trees.make_random_tree(generator, 4)
        tree_run = retry_trees.TreeRun(
            generator,
            faults,
            lambda budget: budget_ledger.BudgetLedger(budget, policy),
        )
        tally = tree_run.run(tree, RETRY_BUDGET)
        succeeded += tally.succeeded
        highest_retries = max(highest_retries, tally.retries)
    return succeeded / TREE_COUNT, highest_retries
