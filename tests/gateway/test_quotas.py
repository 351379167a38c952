"""Quotas of client accounts on the whole path of a request.

Guards against requests that run without a token, requests within the quota that
are refused because the node happens to hold none, tokens that are lost with
requests that did not run, calls of backend servers that are counted, client
requests that are taken for calls and so run without a token, and nodes that
wake up for tokens of which nothing has changed.
"""

import pytest

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.routes import route_document
from tests.fakes import quota_owner
from tests.gateway import mesh as mesh_module

KEY = "k-1"
LIMITED = client_account.ClientAccount("mill", (KEY,), None, 10.0, 10.0)
SENT = [("X-Api-Key", KEY)]


class Scene:
    def __init__(self, *accounts, services=("front", "deep", "deep")):
        self.mesh = mesh_module.Mesh(*services)
        document = mesh_module.make_document(
            mesh_module.make_route("read", "deep"),
            mesh_module.make_route("open", "deep", is_public=True),
        )
        text = route_document.dump(document._replace(accounts=accounts))
        self.owner = quota_owner.QuotaOwner(self.mesh.network, *accounts)
        for member in self.mesh.members:
            member.gateway.configuration_changed(1, text)
            member.gateway._parts.quotas._connect = self.owner.connect
            member.gateway.quota_owner_received("10.0.0.9:1")
        self.mesh.network.run(1.0, step_s=0.01)

    def ask(self, path="/read/x", *, headers=SENT, wait=0.3):
        return self.mesh.ask(0, path, headers=headers, wait=wait)

    def metric(self, outcome, account="mill"):
        metrics = self.mesh.members[0].gateway._parts.metrics
        return metrics.quota_requests.labels(account, outcome)._value.get()

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


def test_waits_at_most_0_3_s_for_an_owner_that_is_silent(scene):
    scene.owner.is_unreachable = True
    client = scene.ask(wait=0.29)
    assert client.statuses == []
    scene.mesh.network.run(0.02)
    assert client.statuses == [429]
    assert scene.ran == 0


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
