"""A hundred nodes that send to a service with rate-limited backend servers.

Guards against limits that hold for few nodes only: the node beside a backend
server, which keeps its limit, restarts, freezes and is cut meanwhile. Models
nothing but the decisions, in virtual time.
"""

import random

import pytest

from cranberrymux.decisions.endpoints import endpoint_set
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.rate_limits import known_rate_limit
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from tests.soak import rate_limits

STEP_S = 0.01
WORK_S = 0.4
SLOTS = 50
NODES = 100
PER_S = 200.0
MAXIMUM_TRIES = 4
LIMITS_PER_S = {"e0": 6.3, "e1": 7.6}
_Verdict = slot_scheduler.SlotVerdict


class Keeper:
    """The node beside one backend server."""

    def __init__(self):
        self.known = known_rate_limit.KnownRateLimit()
        self.scheduler = slot_scheduler.SlotScheduler(SLOTS)
        self.waiting = {}

    def apply(self, now_s):
        self.scheduler.set_rate_limit(now_s, self.known.per_s)


class Model:
    """Nodes, keepers and backend servers, advanced step by step."""

    def __init__(self, limits_per_s):
        self.now_s = 0.0
        self.limits_per_s = limits_per_s
        self.random = random.Random(1)
        self.nodes = [self._make_node(number) for number in range(NODES)]
        self.keepers = {f"e{number}": Keeper() for number in range(6)}
        self.unreachable = set()
        self.frozen = {}
        self.running = []
        self.arrivals = {name: [] for name in self.keepers}
        self.bindings = {name: [] for name in self.keepers}
        self.waits_s = []
        self.refused = 0
        self.tries = 0
        self._tickets = 0

    def _make_node(self, number):
        node = endpoint_set.EndpointSet(
            f"n{number}", f"z{number % 4}", random.Random(f"node {number}")
        )
        node.update(
            endpoint_record.EndpointRecord(
                "s", f"e{n}", 1, 1, "10.0.0.1", 80, "r", f"z{n % 4}", {},
                SLOTS, endpoint_state.EndpointState.SERVING, f"b{n}", 1,
            )
            for n in range(6)
        )  # fmt: skip
        # Endpoints of other services, beside which the other nodes run.
        node.update(
            endpoint_record.EndpointRecord(
                "other", f"o{n}", 1, 1, "10.0.0.1", 80, "r", "z0", {},
                SLOTS, endpoint_state.EndpointState.SERVING,
            )
            for n in range(NODES - 6)
        )  # fmt: skip
        return node

    def run(self, span_s):
        for _ in range(round(span_s / STEP_S)):
            self.now_s += STEP_S
            self._finish()
            for name in self.keepers:
                if name not in self.frozen:
                    self._serve(name)
            while self.random.random() < PER_S * STEP_S / (1 + PER_S * STEP_S):
                self.send(self.random.randrange(NODES), [], self.now_s)

    def restart(self, name):
        self.keepers[name] = Keeper()

    def thaw(self, name):
        """Delivers at once what was sent to a frozen keeper."""
        for request in self.frozen.pop(name):
            self._offer(name, *request)

    def send(self, number, tried, sent_s):
        node = self.nodes[number]
        view = None
        if len(tried) < MAXIMUM_TRIES:
            view = node.choose("s", self.now_s, tried)
        if view is None:
            self.refused += 1
            return
        self.tries += 1
        name = view.record.endpoint_id
        tried = [*tried, name]
        node.note_sent(view, self.now_s)
        if name in self.unreachable:
            view.note_unreachable(self.now_s)
            self.send(number, tried, sent_s)
        elif name in self.frozen:
            request = (number, tried, sent_s, view.rate_limit.per_s)
            self.frozen[name].append(request)
        else:
            self._offer(name, number, tried, sent_s, view.rate_limit.per_s)

    def _offer(self, name, number, tried, sent_s, known_per_s):
        keeper = self.keepers[name]
        if known_per_s is not None:
            keeper.known.note_sender(known_per_s, self.now_s)
            keeper.apply(self.now_s)
        self._tickets += 1
        ticket = slot_scheduler.Ticket(
            self._tickets, 1.0, self.now_s + 2.0, self.now_s + 5.0
        )
        verdict = keeper.scheduler.offer(self.now_s, ticket)
        request = (number, tried, sent_s)
        if verdict is _Verdict.START:
            self._start(name, self._tickets, request)
        elif verdict is _Verdict.WAIT:
            keeper.waiting[self._tickets] = request
        else:
            self._refuse(name, request)

    def _refuse(self, name, request):
        number, tried, sent_s = request
        view = self.nodes[number].find(name)
        wait_s = self.keepers[name].scheduler.get_token_wait_s(self.now_s)
        view.pace.note_wait(self.now_s, wait_s)
        self.send(number, tried, sent_s)

    def _start(self, name, ticket_id, request):
        self.arrivals[name].append(
            rate_limits.Arrival(self.now_s, f"n{request[0]}")
        )
        work_s = WORK_S * self.random.uniform(0.5, 1.5)
        self.running.append(
            (self.now_s + work_s, self.now_s, name, ticket_id, request)
        )

    def _serve(self, name):
        keeper = self.keepers[name]
        for ticket_id in keeper.scheduler.start_waiting(self.now_s):
            self._start(name, ticket_id, keeper.waiting.pop(ticket_id))
        for ticket_id in keeper.scheduler.pop_expired(self.now_s):
            self._refuse(name, keeper.waiting.pop(ticket_id))

    def _finish(self):
        due = [run for run in self.running if run[0] <= self.now_s]
        self.running = [run for run in self.running if run[0] > self.now_s]
        for _, started_s, name, ticket_id, request in due:
            number, _, sent_s = request
            keeper = self.keepers[name]
            per_s = self.limits_per_s.get(name)
            keeper.scheduler.finish(self.now_s, ticket_id, True)
            keeper.known.note_answer(per_s, started_s, self.now_s)
            keeper.apply(self.now_s)
            view = self.nodes[number].find(name)
            view.rate_limit.note_answer(per_s, started_s, self.now_s)
            self.waits_s.append(self.now_s - sent_s)
            if per_s is not None:
                self.bindings[name].append(
                    rate_limits.Binding(self.now_s, f"n{number}")
                )


def check_limits(model):
    for name, per_s in model.limits_per_s.items():
        bound = {}
        for binding in model.bindings[name]:
            bound.setdefault(binding.instance, binding)
        excesses = rate_limits.find_excesses(
            [rate_limits.Naming(0.0, per_s)],
            model.arrivals[name],
            list(bound.values()),
        )
        assert [str(excess) for excess in excesses] == []


@pytest.fixture
def model():
    return Model(LIMITS_PER_S)


def test_limits_hold_and_siblings_take_the_rest(model):
    model.run(20.0)
    check_limits(model)
    assert not model.refused
    waits_s = sorted(model.waits_s)
    assert waits_s[int(0.95 * len(waits_s))] < 1.5 * WORK_S + 0.1
    for name, per_s in LIMITS_PER_S.items():
        used = len(model.arrivals[name]) / 20.0
        assert 0.5 * per_s < used < 1.1 * per_s + 1.0


def test_limits_hold_while_their_keepers_restart(model):
    model.run(8.0)
    for _ in range(5):
        model.restart("e0")
        model.restart("e1")
        model.run(1.5)
    check_limits(model)


def test_limits_hold_when_frozen_or_cut_keepers_come_back(model):
    model.run(8.0)
    model.frozen["e0"] = []
    model.unreachable.add("e1")
    model.run(3.0)
    model.thaw("e0")
    model.unreachable.clear()
    model.run(5.0)
    check_limits(model)


def test_limits_hold_when_all_endpoints_name_one():
    model = Model({f"e{number}": 5.0 for number in range(6)})
    model.run(15.0)
    check_limits(model)
    assert model.refused > 0.7 * PER_S * 10
    assert max(model.waits_s) < 1.5 * WORK_S + MAXIMUM_TRIES * 0.6
