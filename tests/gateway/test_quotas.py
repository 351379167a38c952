"""Quotas of client accounts on the whole path of a request.

Guards against requests that run without a token, requests within the quota that
are refused because the node happens to hold none, tokens that are lost with
requests that did not run, calls of backend servers that are counted, client
requests that are taken for calls and so run without a token, and nodes that
wake up for tokens of which nothing has changed.
"""

import pytest
from twisted.internet import defer

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route_document
from cranberrymux.wire.gen.messages import ttypes
from tests.fakes import quota_owner
from tests.gateway import mesh as mesh_module

KEY = "k-1"
LIMITED = client_account.ClientAccount("mill", (KEY,), None, 10.0, 10.0)
SENT = [("X-Api-Key", KEY)]


class Scene:
    def __init__(
        self, *accounts, services=("front", "deep", "deep"), timeout_s=1.0
    ):
        self.mesh = mesh_module.Mesh(*services)
        self._timeout_s = timeout_s
        self.owner = quota_owner.QuotaOwner(self.mesh.network, *accounts)
        self.configure(*accounts)
        for member in self.mesh.members:
            member.gateway._parts.quotas._connect = self.owner.connect
            member.gateway.updates.quota_owner_received("10.0.0.9:1")
        self.mesh.network.run(1.0, step_s=0.01)

    def configure(self, *accounts, label=1):
        document = mesh_module.make_document(
            mesh_module.make_route("read", "deep", timeout_s=self._timeout_s),
            mesh_module.make_route("open", "deep", is_public=True),
            label=label,
        )
        text = route_document.dump(document._replace(accounts=accounts))
        for member in self.mesh.members:
            member.gateway.updates.configuration_changed(label, text)

    def ask(self, path="/read/x", *, headers=SENT, wait=0.3):
        return self.mesh.ask(0, path, headers=headers, wait=wait)

    def metric(self, outcome, account="mill"):
        metrics = self.mesh.members[0].gateway._parts.metrics
        return metrics.quota_requests.labels(account, outcome).value

    @property
    def ran(self):
        return sum(len(m.backend.calls) for m in self.mesh.members)


@pytest.fixture
def scene():
    return Scene(LIMITED)


def test_a_request_without_a_token_waits_for_the_owner(scene):
    assert scene.ask().statuses == [200]
    assert scene.owner.requests
    assert scene.metric("granted") == 1


def test_refuses_with_429_and_retry_after_when_the_quota_is_used_up(scene):
    clients = [scene.ask(wait=0.0) for _ in range(60)]
    scene.mesh.network.run(0.5)
    statuses = [client.statuses[0] for client in clients]
    assert set(statuses) == {200, 429}
    assert scene.ran == statuses.count(200) <= 10 * 0.5 + 10 + 26
    refused = clients[statuses.index(429)]
    assert b"retry-after" in refused.received.lower()
    assert b"over-quota" in refused.received
    assert scene.metric("refused") == statuses.count(429)


@pytest.mark.parametrize(
    ("timeout_s", "wait_s"), [(0.4, 0.3), (1.0, 0.5), (10.0, 2.0)]
)
def test_waits_0_3_s_or_half_of_the_time_left_for_an_owner_that_is_silent(
    timeout_s, wait_s
):
    """The client allows 5 s."""
    scene = Scene(LIMITED, timeout_s=timeout_s)
    scene.owner.is_unreachable = True
    client = scene.ask(wait=wait_s - 0.01)
    assert client.statuses == []
    scene.mesh.network.run(0.02)
    assert client.statuses == [429]
    assert scene.ran == 0


def test_waits_at_most_0_3_s_while_the_owner_answers(scene):
    """Each of its answers brings some tokens, but too few."""
    clients = [scene.ask(wait=0.0) for _ in range(60)]
    scene.mesh.network.run(0.32, step_s=0.01)
    statuses = [client.statuses for client in clients]
    assert [] not in statuses
    assert [429] in statuses


def test_is_answered_by_the_owner_that_comes_back(scene):
    scene.owner.is_unreachable = True
    client = scene.ask(wait=0.4)
    assert client.statuses == []
    scene.owner.is_unreachable = False
    scene.mesh.network.run(0.1, step_s=0.01)
    assert client.statuses == [200]


class Standby:
    """A control instance that keeps tokens of an owner that was lost."""

    def __init__(self, tokens, delay_s=0.0):
        self.tokens = tokens
        self.delay_s = delay_s
        self.is_connected = True
        self.requests = []
        self.network = None

    async def take_quota(self, message):
        self.requests.append(message)
        waiting = defer.Deferred()
        self.network.callLater(self.delay_s, waiting.callback, None)
        await waiting
        (row,) = message.rows
        granted = min(row.tokens, self.tokens)
        self.tokens -= granted
        return ttypes.QuotaAnswer(
            rows=[ttypes.QuotaRow(account="mill", tokens=granted, used=0)],
            ttl_ms=1000,
            configuration_version=1,
        )


def lose_owner(scene, *standbys):
    scene.owner.is_unreachable = True
    for standby in standbys:
        standby.network = scene.mesh.network
    tasks = scene.mesh.members[0].gateway._parts.quotas._standbys
    tasks._get_clients = lambda: list(standbys)


def test_gets_tokens_of_other_control_instances_without_an_owner(scene):
    empty, full, cut = Standby(0), Standby(3), Standby(3)
    cut.is_connected = False
    lose_owner(scene, empty, full, cut)
    clients = [scene.ask(wait=0.06) for _ in range(3)]
    assert [client.statuses for client in clients] == [[200]] * 3
    assert full.tokens == 0
    assert cut.requests == []
    assert full.requests[0].sequence == 0
    client = scene.ask(wait=0.4)
    assert client.statuses == []
    assert len(full.requests) >= 5
    scene.mesh.network.run(0.2, step_s=0.01)
    assert client.statuses == [429]
    assert scene.ran == 3


def test_goes_on_to_the_next_when_a_control_instance_is_silent(scene):
    frozen, full = Standby(3, delay_s=10.0), Standby(3)
    lose_owner(scene, frozen, full)
    assert scene.ask(wait=0.12).statuses == [200]
    assert frozen.tokens == 3


def test_asks_no_other_instance_while_the_owner_answers(scene):
    standby = Standby(100)
    lose_owner(scene, standby)
    scene.owner.is_unreachable = False
    for _ in range(60):
        scene.ask(wait=0.0)
    scene.mesh.network.run(0.5, step_s=0.01)
    assert standby.requests == []


def test_a_new_owner_without_tokens_does_not_refuse_for_3_s(scene):
    """Its bucket is empty, although the account is within its quota."""
    gateway = scene.mesh.members[0].gateway
    scene.mesh.network.run(1.0, step_s=0.01)
    gateway.updates.quota_owner_received("10.0.0.8:1")
    scene.owner.restart(LIMITED)
    # One token comes in 0.1 s.
    client = scene.ask(wait=0.05)
    assert client.statuses == []
    scene.mesh.network.run(0.15, step_s=0.01)
    assert client.statuses == [200]
    scene.mesh.run_announced(3)
    clients = [scene.ask(wait=0.0) for _ in range(60)]
    scene.mesh.network.run(0.4, step_s=0.01)
    assert [429] in [client.statuses for client in clients]


def test_gives_back_the_token_of_a_request_that_no_endpoint_took(scene):
    for member in scene.mesh.members[1:]:
        member.announce(state=mesh_module.announcement.BackendState.DRAINING)
    scene.mesh.publish_endpoints()
    for _ in range(5):
        assert scene.ask().statuses == [503]
    assert scene.ran == 0
    assert scene.metric("returned") == 5
    scene.mesh.network.run(2.0, step_s=0.01)
    (use,) = scene.owner.allocator.describe()
    assert use.spent == 0


def test_public_routes_and_unlimited_accounts_take_no_token():
    free = client_account.ClientAccount("free", ("k-2",))
    scene = Scene(LIMITED, free)
    assert scene.ask("/open/x", headers=[]).statuses == [200]
    unlimited = [("X-Api-Key", "k-2")]
    assert scene.ask(headers=unlimited).statuses == [200]
    assert scene.owner.requests == []


def test_a_cancelled_wait_takes_no_token(scene):
    scene.owner.delay_s = 0.1
    client = scene.ask(wait=0.02)
    client.transport.loseConnection()
    # A node keeps a token for 2.5 s after the last request of an account.
    scene.mesh.network.run(4.0, step_s=0.01)
    assert scene.ran == 0
    (use,) = scene.owner.allocator.describe()
    assert use.spent == 0
    assert use.out == 0


def test_sends_at_most_one_message_in_20_ms(scene):
    sent_s = []
    take = scene.owner.take_quota

    async def take_quota(message):
        sent_s.append(scene.mesh.network.seconds())
        return await take(message)

    scene.owner.take_quota = take_quota
    for _ in range(60):
        scene.ask(wait=0.011)
    gaps = [b - a for a, b in zip(sent_s, sent_s[1:], strict=False)]
    assert min(gaps) >= 0.02 - 1e-9


def test_a_new_session_follows_when_the_owner_has_forgotten_the_node(scene):
    assert scene.ask().statuses == [200]
    scene.owner.restart(LIMITED)
    scene.mesh.network.run(1.0, step_s=0.01)
    for _ in range(5):
        assert scene.ask().statuses == [200]


def test_a_request_with_a_key_takes_a_token_whatever_it_resembles(scene):
    """Its id extends that of a request that runs beside the node."""
    gateway = scene.mesh.members[0].gateway
    gateway._parts.parent_matcher.add(1, b"r7", gateway._clock.now_s() + 5.0)
    client = scene.ask(headers=[*SENT, ("Request-Id", "r7.1")])
    assert client.statuses == [200]
    assert scene.metric("granted") == 1


def count_checks(scene, seconds):
    """Returns how often the first node wakes up for its tokens."""
    quotas = scene.mesh.members[0].gateway._parts.quotas
    checks = []
    check = quotas._ask_if_due
    quotas._ask_if_due = lambda: checks.append(check())
    scene.mesh.network.run(seconds, step_s=0.01)
    quotas._ask_if_due = check
    return len(checks)


def test_wakes_up_for_tokens_only_while_it_knows_an_account(scene):
    assert count_checks(scene, 1.0) == 0
    for _ in range(2):
        assert scene.ask().statuses == [200]
        assert 1 <= count_checks(scene, 1.0) <= 10
        scene.mesh.run_announced(8.0)
        assert scene.owner.allocator.describe()[0].out == 0
        assert count_checks(scene, 1.0) == 0


def test_asks_again_soon_while_requests_wait(scene):
    scene.owner.is_unreachable = True
    client = scene.ask(wait=0.05)
    scene.owner.is_unreachable = False
    scene.mesh.network.run(0.05, step_s=0.002)
    assert client.statuses == [200]


def test_a_key_that_is_taken_away_during_the_wait_runs_nowhere(scene):
    scene.owner.is_unreachable = True
    client = scene.ask(wait=0.2)
    scene.configure(LIMITED._replace(keys=("k-9",)), label=2)
    scene.owner.is_unreachable = False
    scene.mesh.network.run(0.2, step_s=0.01)
    assert client.statuses == [503]
    assert scene.ran == 0
    assert scene.metric("returned") == 1
