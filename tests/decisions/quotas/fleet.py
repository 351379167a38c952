"""Nodes and owners of quotas in virtual time, without a network."""

import heapq
import itertools
import random

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.quotas import standby_pool
from cranberrymux.decisions.quotas import token_allocator
from cranberrymux.decisions.quotas import token_messages
from cranberrymux.decisions.quotas import token_stock

SETTINGS = quota_settings.QuotaSettings()
WAIT_S = 0.1
LEASE_S = 0.5
DELAY_S = 0.001
TIMEOUT_S = 0.4
TICK_S = 0.05
STANDBY_AFTER_S = 0.05
STANDBY_TIMEOUT_S = 0.03
OWNER_NEW_S = 3.0
STANDBY_COUNT = 3


def make_zipf_accounts(total_per_s, count=71, exponent=1.2):
    """Returns accounts, and the usual rate of each.

    The quota is 1.6 times the usual rate, at least 5 requests a second; the
    burst is a second of it.
    """
    weights = [(rank + 1) ** -exponent for rank in range(count)]
    rates = {
        f"a{rank}": total_per_s * weight / sum(weights)
        for rank, weight in enumerate(weights)
    }
    accounts = []
    for name, rate in rates.items():
        per_s = max(5.0, 1.6 * rate)
        accounts.append(
            client_account.ClientAccount(name, (), None, per_s, per_s)
        )
    return accounts, rates


class Waiter:
    def __init__(self, account):
        self.account = account
        self.is_asked = False
        self.is_done = False


class Standby:
    """A control instance that is not the owner, and keeps a pool."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.is_cut = False
        self.frozen_until_s = 0.0
        self.session = 1
        self.start()

    def start(self):
        self.session += 1_000_000
        self.pool = standby_pool.StandbyPool(self.name, self.session)
        self.owner = self.fleet.owner

    def tick(self):
        fleet = self.fleet
        fleet.at(fleet.now_s + standby_pool.REFILL_INTERVAL_S, self.tick)
        if fleet.now_s < self.frozen_until_s or fleet.owner is None:
            return
        if fleet.owner is not self.owner:
            self.owner = fleet.owner
            self.pool.start_session()
        request = self.pool.next_request(fleet.now_s)
        for _ in range(fleet.draw_copies(self)):
            fleet.at(
                fleet.now_s + fleet.draw_delay_s(),
                self.reach_owner,
                self.owner,
                request,
            )

    def reach_owner(self, owner, request):
        fleet = self.fleet
        if owner is not fleet.owner:
            return
        answer = owner.take(request, fleet.now_s, LEASE_S)
        for _ in range(fleet.draw_copies(self)):
            fleet.at(
                fleet.now_s + fleet.draw_delay_s(),
                self.receive,
                self.pool,
                request,
                answer,
            )

    def receive(self, pool, request, answer):
        if pool is not self.pool:
            return
        if self.fleet.now_s < self.frozen_until_s:
            self.fleet.at(
                self.frozen_until_s, self.receive, pool, request, answer
            )
        elif isinstance(answer, token_messages.TokenRefusal):
            pool.note_refusal(request, answer)
        else:
            pool.apply_answer(request, answer, self.fleet.now_s)

    def ask(self, node, rows, sent_s):
        """Handles the request of a node."""
        fleet = self.fleet
        if fleet.now_s < self.frozen_until_s:
            fleet.at(self.frozen_until_s, self.ask, node, rows, sent_s)
            return
        answer = self.pool.take(rows, fleet.now_s)
        if node.is_cut:
            return
        for _ in range(fleet.draw_copies(self)):
            fleet.at(
                fleet.now_s + fleet.draw_delay_s(),
                node.receive_from_standby,
                node.stock,
                answer,
                sent_s,
            )


class Node:
    """One node, with the rules of `gateway.quota_task`."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.is_cut = False
        self.is_cut_from_owner = False
        self.frozen_until_s = 0.0
        self.starts = 0
        self.messages = 0
        self.start()

    def start(self):
        self.starts += 1
        session = int(1000 * self.fleet.now_s) + 100_000 * self.starts
        self.stock = token_stock.TokenStock(self.name, session)
        self.owner = self.fleet.owner
        self.waiters = []
        self.standbys_left = []
        self.silent = set()
        self.pool_requests = 0
        self.pool_answered_s = 0.0
        self.answered_s = -1.0
        self.followed_s = -OWNER_NEW_S

    def request(self, account):
        fleet = self.fleet
        if fleet.now_s < self.frozen_until_s:
            fleet.at(self.frozen_until_s, self.request, account)
            return
        now_s = fleet.now_s
        self.stock.note_arrival(account, now_s)
        is_first = all(each.account != account for each in self.waiters)
        if is_first and self.stock.take(account, now_s):
            fleet.note_run(account)
            return
        waiter = Waiter(account)
        self.waiters.append(waiter)
        self.stock.change_waiting(account, 1, now_s)
        fleet.at(now_s + WAIT_S, self.refuse, waiter)
        fleet.at(now_s + STANDBY_AFTER_S, self.ask_standbys, waiter)
        self.exchange()

    def tick(self):
        fleet = self.fleet
        fleet.at(fleet.now_s + TICK_S, self.tick)
        if fleet.now_s >= self.frozen_until_s:
            self.exchange()

    def exchange(self):
        fleet = self.fleet
        if fleet.owner is not None and fleet.owner is not self.owner:
            self.owner = fleet.owner
            self.followed_s = fleet.now_s
            self.stock.start_session(fleet.now_s)
        request = self.stock.next_request(fleet.now_s)
        if request is None:
            return
        self.messages += 1
        for waiter in self.waiters:
            waiter.is_asked = True
        copies = 0 if self.is_cut_from_owner else fleet.draw_copies(self)
        for _ in range(copies):
            fleet.at(
                fleet.now_s + fleet.draw_delay_s(),
                self.reach_owner,
                self.owner,
                request,
            )
        fleet.at(fleet.now_s + TIMEOUT_S, self.fail, self.stock, request)

    def reach_owner(self, owner, request):
        fleet = self.fleet
        # An owner that lost its lease refuses, which is a failure to the node.
        if owner is None or owner is not fleet.owner:
            return
        answer = owner.take(request, fleet.now_s, LEASE_S)
        for _ in range(fleet.draw_copies(self)):
            fleet.at(
                fleet.now_s + fleet.draw_delay_s(),
                self.receive,
                self.stock,
                request,
                answer,
            )

    def receive(self, stock, request, answer):
        fleet = self.fleet
        if stock is not self.stock:
            return
        if fleet.now_s < self.frozen_until_s:
            fleet.at(self.frozen_until_s, self.receive, stock, request, answer)
            return
        if isinstance(answer, token_messages.TokenRefusal):
            stock.note_refusal(request, answer, fleet.now_s)
            return
        self.answered_s = fleet.now_s
        granted = stock.apply_answer(request, answer, fleet.now_s)
        for waiter in list(self.waiters):
            if waiter.account not in granted:
                continue
            if stock.take(waiter.account, fleet.now_s):
                self.remove(waiter)
                fleet.note_run(waiter.account)
            elif self.is_owner_new():
                continue
            elif waiter.is_asked and not granted[waiter.account]:
                self.refuse(waiter)

    def may_ask_standbys(self):
        silent_s = self.fleet.now_s - self.answered_s
        return silent_s >= STANDBY_AFTER_S or self.is_owner_new()

    def is_owner_new(self):
        return self.fleet.now_s - self.followed_s < OWNER_NEW_S

    def ask_standbys(self, waiter):
        """Begins to ask one control instance after the other for tokens."""
        if waiter not in self.waiters:
            return
        if not self.may_ask_standbys():
            self.fleet.at(
                self.fleet.now_s + STANDBY_AFTER_S, self.ask_standbys, waiter
            )
        elif not self.standbys_left:
            standbys = self.fleet.standbys
            first = self.fleet.generator.randrange(len(standbys) or 1)
            self.standbys_left = [*standbys[first:], *standbys[:first]]
            self.standbys_left.sort(key=lambda each: each in self.silent)
            self.ask_next_standby()

    def ask_next_standby(self):
        fleet = self.fleet
        if not self.may_ask_standbys():
            self.standbys_left = []
            return
        accounts = {waiter.account for waiter in self.waiters}
        if not accounts or not self.standbys_left:
            self.standbys_left = []
            return
        standby = self.standbys_left.pop(0)
        rows = self.stock.make_pool_rows(sorted(accounts), fleet.now_s)
        self.pool_requests += 1
        number = self.pool_requests
        for _ in range(fleet.draw_copies(self)):
            fleet.at(
                fleet.now_s + fleet.draw_delay_s(),
                standby.ask,
                self,
                rows,
                fleet.now_s,
            )
        fleet.at(
            fleet.now_s + STANDBY_TIMEOUT_S,
            self.give_up_standby,
            number,
            standby,
        )

    def give_up_standby(self, number, standby):
        if number == self.pool_requests:
            self.silent.add(standby)
            self.ask_next_standby()

    def receive_from_standby(self, stock, answer, sent_s):
        fleet = self.fleet
        if fleet.now_s < self.frozen_until_s:
            fleet.at(
                self.frozen_until_s,
                self.receive_from_standby,
                stock,
                answer,
                sent_s,
            )
            return
        if stock is not self.stock or sent_s <= self.pool_answered_s:
            return
        self.pool_answered_s = sent_s
        stock.add_passed_on(answer, sent_s, fleet.now_s)
        for waiter in list(self.waiters):
            if stock.take(waiter.account, fleet.now_s):
                self.remove(waiter)
                fleet.note_run(waiter.account)
        self.pool_requests += 1
        self.ask_next_standby()

    def fail(self, stock, request):
        stock.note_failure(request)

    def refuse(self, waiter):
        if waiter in self.waiters:
            self.remove(waiter)
            self.stock.note_refused(waiter.account, self.fleet.now_s)
            self.fleet.refused_s.setdefault(waiter.account, []).append(
                self.fleet.now_s
            )

    def remove(self, waiter):
        self.waiters.remove(waiter)
        self.stock.change_waiting(waiter.account, -1, self.fleet.now_s)


class Fleet:
    """All nodes, the present owner, and when which requests ran.

    Attributes:
        run_s: Times at which requests ran, by account.
        offered_s: Times at which requests arrived, by account.
        loss: Probability that a message is lost.
        doubling: Probability that a message arrives twice.
    """

    def __init__(
        self,
        node_count,
        accounts,
        seed=1,
        *,
        uptime_s=10.0,
        standby_count=STANDBY_COUNT,
    ):
        self.generator = random.Random(seed)
        self.now_s = 100.0
        self.accounts = list(accounts)
        self.run_s = {}
        self.offered_s = {}
        self.refused_s = {}
        self.loss = 0.0
        self.doubling = 0.0
        self._events = []
        self._numbers = itertools.count()
        self.owner = None
        self.start_owner(self.now_s - uptime_s)
        self.nodes = [Node(self, f"n{i}") for i in range(node_count)]
        self.standbys = [Standby(self, f"c{i}") for i in range(standby_count)]
        for standby in self.standbys:
            self.at(self.now_s + self.generator.uniform(0, 0.2), standby.tick)
        for node in self.nodes:
            self.at(self.now_s + self.generator.uniform(0, TICK_S), node.tick)

    def at(self, time_s, call, *arguments):
        entry = (time_s, next(self._numbers), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, seconds):
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        self.now_s = end_s

    def start_owner(self, now_s=None):
        now_s = self.now_s if now_s is None else now_s
        self.owner = token_allocator.TokenAllocator(SETTINGS, now_s)
        self.owner.set_accounts(self.accounts, now_s)

    def set_accounts(self, accounts):
        self.accounts = list(accounts)
        if self.owner is not None:
            self.owner.set_accounts(self.accounts, self.now_s)

    def offer(self, account, per_s, seconds, pick):
        """Offers Poisson arrivals from now on, at the nodes that `pick` names.

        Args:
            account: Name of the account.
            per_s: Mean rate.
            seconds: Duration.
            pick: Returns the node for a time.
        """
        time_s = self.now_s
        while per_s > 0:
            time_s += self.generator.expovariate(per_s)
            if time_s > self.now_s + seconds:
                return
            self.offered_s.setdefault(account, []).append(time_s)
            self.at(time_s, self._arrive, account, pick(time_s))

    def _arrive(self, account, node):
        node.request(account)

    def note_run(self, account):
        self.run_s.setdefault(account, []).append(self.now_s)

    def draw_copies(self, node):
        if node.is_cut or self.generator.random() < self.loss:
            return 0
        return 2 if self.generator.random() < self.doubling else 1

    def draw_delay_s(self):
        return DELAY_S * (0.5 + self.generator.random())

    def pick_any(self, time_s):
        return self.generator.choice(self.nodes)

    def count_denied(self, from_s=0.0, to_s=1e9):
        """Returns requests within their quotas, and how many of them failed.

        Within the quota is what a single bucket for all nodes would serve.
        """
        owed = failed = 0
        for account in self.accounts:
            for refused, is_owed in self._judge(account, from_s, to_s):
                owed += is_owed
                failed += refused
        return failed, owed

    def _judge(self, account, from_s, to_s):
        """Yields how much of the account's owed requests failed."""
        tokens = account.burst
        last_s = 0.0
        owed = 0
        for time_s in self.offered_s.get(account.name, ()):
            tokens = min(
                account.burst, tokens + account.per_s * (time_s - last_s)
            )
            last_s = time_s
            if tokens >= 1.0:
                tokens -= 1.0
                owed += from_s <= time_s < to_s
        served = sum(
            from_s <= time_s < to_s + WAIT_S
            for time_s in self.run_s.get(account.name, ())
        )
        yield max(owed - served, 0), owed

    def find_excess(self, account, *, from_s=0.0, limit=None):
        """Returns by how much an account exceeds its bound in any window.

        Negative if it never does.
        """
        limit = limit or account
        times = [
            time_s
            for time_s in self.run_s.get(account.name, ())
            if time_s >= from_s
        ]
        quota = limit.per_s * SETTINGS.window_s + limit.burst
        bound = quota * (1 + SETTINGS.over) + SETTINGS.slack
        most = first = 0
        for last, time_s in enumerate(times):
            while times[first] < time_s - SETTINGS.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most - bound

    def find_worst_excess(self):
        return max(self.find_excess(account) for account in self.accounts)
