"""Invariants of a router under random schedules.

Guards against calls outside their place selector, to draining, gone or
excluded endpoints, against older records being applied and against more
ejections than the cap allows. Each mutation removes one mechanism and must
make the same checks fail.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.routing import outcome
from cranberrymux.decisions.routing import router
from cranberrymux.decisions.routing import sampler
from cranberrymux.decisions.routing import service_table
from cranberrymux.decisions.routing import tracked_endpoint
from cranberrymux.decisions.routing import verdict
from cranberrymux.decisions.selectors import parser
from cranberrymux.models import endpoint_state
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from tests import profiles
from tests.decisions.routing import builders

Reason = refusal_reason.RefusalReason
State = endpoint_state.EndpointState
NUMBERS = strategies.integers(0, 4)
STORES = ("a", "b")
PLACES = {None: None, **{s: parser.parse(f"store = {s}") for s in STORES}}
RECORDS = strategies.builds(
    builders.record,
    NUMBERS,
    incarnation=strategies.integers(1, 3),
    sequence=strategies.integers(1, 3),
    zone=strategies.sampled_from(["z0", "z1"]),
    labels=strategies.sampled_from([{"store": s} for s in STORES]),
    state=strategies.sampled_from([State.SERVING] * 4 + list(State)),
)
UPDATES = strategies.tuples(
    strategies.just("update"), strategies.lists(RECORDS, max_size=4)
)
CHOICES = strategies.tuples(
    strategies.just("choose"),
    strategies.sampled_from(list(PLACES)),
    strategies.integers(0, 600),
    strategies.frozensets(NUMBERS.map("e{}".format), max_size=2),
)
ENDINGS = strategies.tuples(
    strategies.just("finish"),
    NUMBERS,
    strategies.sampled_from(list(outcome.Outcome)),
    strategies.integers(1, 8),
    strategies.none() | strategies.integers(0, 600),
)
WAITS = strategies.tuples(
    strategies.just("wait"), strategies.floats(0.0, 3.0, width=16)
)
SCHEDULES = strategies.lists(
    UPDATES | CHOICES | CHOICES | ENDINGS | ENDINGS | WAITS,
    min_size=5,
    max_size=40,
)
FIRST_RECORDS = [builders.record(number) for number in range(5)]


class Session:
    """Drives a router and keeps the newest records independently of it."""

    def __init__(self):
        self.now_s = 100.0
        self.router = router.Router(builders.SETTINGS, random.Random(7))
        self.newest = {}
        self.draining_until_s = {}
        self.update(FIRST_RECORDS)

    def update(self, records):
        self.router.update_endpoints(self.now_s, "notes", records)
        for record in records:
            known = self.newest.get(record.endpoint_id)
            age = (record.incarnation, record.sequence)
            if known is None or age > (known.incarnation, known.sequence):
                self.newest[record.endpoint_id] = record
                self.draining_until_s.pop(record.endpoint_id, None)

    def choose(self, store, priority, excluded):
        place = PLACES[store]
        context = builders.context(priority)
        arguments = (self.now_s, "notes", context, place, excluded)
        explanations = self.router.explain(*arguments)
        verdicts = {item.endpoint_id: item.verdict for item in explanations}
        chosen = self.router.choose(*arguments)
        if isinstance(chosen, refusal.Refusal):
            self.check_refusal(chosen, store)
            assert verdict.Verdict.CANDIDATE not in verdicts.values()
            return
        assert self.newest[chosen.endpoint_id] == chosen
        assert store in {None, chosen.labels["store"]}
        assert chosen.state is State.SERVING
        assert not self.has_left(chosen.endpoint_id)
        assert chosen.endpoint_id not in excluded
        assert verdicts[chosen.endpoint_id] in {
            verdict.Verdict.CANDIDATE,
            verdict.Verdict.LEVEL,
        }

    def check_refusal(self, refused, store):
        assert refused.retry_after_ms > 0
        matches = [
            record
            for record in self.newest.values()
            if record.state is not State.GONE
            and store in {None, record.labels["store"]}
        ]
        assert (refused.reason is Reason.NO_PLACE) is (
            not matches and store is not None
        )

    def finish(self, number, result, times, level):
        for _ in range(times):
            builders.finish(
                self.router, self.now_s, f"e{number}", result, level=level
            )
        if result is outcome.Outcome.DRAINING:
            self.draining_until_s[f"e{number}"] = self.now_s + 30.0

    def has_left(self, endpoint_id):
        return self.now_s < self.draining_until_s.get(endpoint_id, 0.0)

    def wait(self, time_s):
        self.now_s += time_s

    def check_ejection_cap(self):
        explanations = self.router.explain(
            self.now_s, "notes", builders.context(0), None
        )
        ejected = sum(
            item.verdict is verdict.Verdict.EJECTED for item in explanations
        )
        serving = sum(
            record.state is State.SERVING
            and not self.has_left(record.endpoint_id)
            for record in self.newest.values()
        )
        assert ejected <= (0 if serving < 2 else max(1, serving * 0.34))


def run(schedule):
    session = Session()
    for name, *arguments in schedule:
        getattr(session, name)(*arguments)
        session.check_ejection_cap()


@profiles.DETERMINISTIC
@hypothesis.given(SCHEDULES)
def test_random_schedule_keeps_the_invariants(schedule):
    run(schedule)


@profiles.SEARCHING
@hypothesis.given(SCHEDULES)
def check_quickly(schedule):
    run(schedule)


def _ignore_draining_notice(self, now_s, endpoint, report):
    endpoint.observe(now_s, report, self.averages)


def _ignore_record_state(self, now_s, record):
    _apply(self, now_s, record)
    self._is_serving = True


def _make_pool_with_ejected(self, now_s, place):
    self.applied_ejections = lambda now_s, candidates: set()
    try:
        return _make_pool(self, now_s, place)
    finally:
        del self.applied_ejections


_apply = tracked_endpoint.TrackedEndpoint.apply
_make_pool = service_table.ServiceTable._make_pool

MUTATIONS = {
    "place: ServiceTable ignores the place selector": (
        service_table.ServiceTable,
        "_make_pool",
        lambda self, now_s, place: _make_pool(self, now_s, None),
    ),
    "draining: draining notices on answers are ignored": (
        service_table.ServiceTable,
        "finish",
        _ignore_draining_notice,
    ),
    "draining: the state of a record is ignored": (
        tracked_endpoint.TrackedEndpoint,
        "apply",
        _ignore_record_state,
    ),
    "records: older records are applied": (
        tracked_endpoint.TrackedEndpoint,
        "is_newer",
        lambda self, record: True,
    ),
    "ejection: no cap": (
        service_table.ServiceTable,
        "maximum_ejected",
        lambda self, candidates: candidates,
    ),
    "ejection: ejected endpoints are chosen": (
        service_table.ServiceTable,
        "_make_pool",
        _make_pool_with_ejected,
    ),
    "candidates: only two are examined": (
        sampler.Sampler,
        "_scan",
        lambda self, tier, start: None,
    ),
    "excluded: excluded endpoints are chosen": (
        sampler.Sampler,
        "_admits",
        lambda self, record: True,
    ),
}


@pytest.mark.parametrize("mutation", MUTATIONS)
def test_removed_mechanism_breaks_an_invariant(monkeypatch, mutation):
    monkeypatch.setattr(*MUTATIONS[mutation])
    with pytest.raises(AssertionError):
        check_quickly()
