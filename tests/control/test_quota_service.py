"""Tokens at control instances.

Guards against tokens that an instance hands out without leading, tokens of an
earlier term that count on, limits of an earlier configuration, and an instance
that answers nothing while it decodes a large one.
"""

import pytest
from twisted.internet import task

from cranberrymux.control import quota_service
from cranberrymux.control import quota_standby
from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.routes import route_document
from cranberrymux.telemetry import metrics
from cranberrymux.telemetry import metrics_settings
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes
from tests.gateway import mesh

MILL = client_account.ClientAccount("mill", ("k",), None, 10.0, 10.0)


class Log:
    def __init__(self):
        self.is_leader = True
        self.lease_ms = 500
        self.present_term = 1
        self.owner = None
        self.passed = []

    def role(self):
        return "leader" if self.is_leader else "follower"

    def vouched_ms(self):
        return self.lease_ms

    def leader(self):
        return "10.0.0.1"

    def leader_address(self):
        return "10.0.0.1:7000"

    def term(self):
        return self.present_term

    async def take_quota(self, message):
        """Passes the request of a standby to the owner; see `Pair`."""
        self.passed.append(message)
        try:
            return self.owner.take(message)
        except ttypes.Refused as refused:
            return wire_error.WireError(
                wire_error.WireErrorReason.REFUSED, refused.reason
            )


class Configuration:
    def __init__(self):
        self.version = 0
        self.document = ""


class Machine:
    def __init__(self):
        self.configuration = Configuration()

    def configure(self, *accounts):
        document = mesh.make_document(mesh.make_route("read", "deep"))
        self.configuration.version += 1
        self.configuration.document = route_document.dump(
            document._replace(accounts=accounts)
        )


class Scene:
    def __init__(self, control_id="c0"):
        self.now_s = 0.0
        self.log = Log()
        self.reactor = task.Clock()
        self.machine = Machine()
        self.machine.configure(MILL)
        self.service = quota_service.QuotaService(
            quota_settings.QuotaSettings(),
            self.machine,
            self.log,
            metrics.build(metrics_settings.MetricsSettings("", "")),
            lambda: self.now_s,
            self.reactor,
            quota_standby.QuotaStandby(
                control_id, self.log, lambda: self.now_s, 1
            ),
        )
        self.service.tick()

    def take(self, sequence=1, session=1, tokens=-3):
        return self.service.take(
            ttypes.QuotaRequest(
                node_id="n",
                incarnation=session,
                sequence=sequence,
                rows=[ttypes.QuotaRow(account="mill", tokens=tokens, used=0)],
                configuration_version=1,
            )
        )


@pytest.fixture
def scene():
    return Scene()


def test_the_leader_hands_out_tokens(scene):
    scene.now_s = 10.0
    answer = scene.take()
    assert answer.rows[0].tokens > 0
    assert answer.ttl_ms == 3000
    report = scene.service.make_report()
    assert report["is_owner"]
    assert report["accounts"][0]["out"] == answer.rows[0].tokens


@pytest.mark.parametrize("change", [("is_leader", False), ("lease_ms", 0)])
def test_refuses_without_a_valid_leader_lease(scene, change):
    setattr(scene.log, *change)
    with pytest.raises(ttypes.Refused) as refused:
        scene.take()
    assert refused.value.reason == quota_service.NOT_OWNER
    report = scene.service.make_report()
    assert not report["is_owner"]
    assert report["accounts"] == []


def test_starts_empty_with_each_term(scene):
    scene.now_s = 10.0
    scene.take()
    scene.log.present_term = 3
    answer = scene.take(session=2)
    assert answer.rows[0].tokens == 0
    assert answer.ttl_ms == 500


def test_a_lapse_of_the_lease_in_one_term_keeps_the_tokens(scene):
    scene.now_s = 10.0
    scene.take()
    scene.log.lease_ms = 0
    assert scene.service.describe() == []
    scene.log.lease_ms = 500
    assert scene.take(sequence=2).ttl_ms == 3000


def test_a_lower_limit_holds_with_the_next_request(scene):
    scene.now_s = 10.0
    scene.machine.configure(MILL._replace(per_s=1.0, burst=1.0))
    scene.take()
    (use,) = scene.service.describe()
    lowered = quota_settings.QuotaSettings().get_capacity(1.0, 1.0)
    assert use["bucket"] + use["out"] <= lowered


def test_names_an_owner_only_where_accounts_have_limits(scene):
    assert scene.service.owner_address == "10.0.0.1:7000"
    scene.machine.configure(MILL._replace(per_s=0.0))
    assert scene.service.owner_address is None


def test_tells_a_node_to_start_a_new_session(scene):
    with pytest.raises(ttypes.Refused) as refused:
        scene.take(sequence=7)
    assert refused.value.reason == "unknown session"


def make_accounts(count):
    return [MILL._replace(name=f"a{index}") for index in range(count)]


def test_hands_out_nothing_while_it_decodes_a_newer_version(scene):
    scene.now_s = 10.0
    scene.machine.configure(*make_accounts(2000), MILL._replace(per_s=1.0))
    with pytest.raises(ttypes.Refused) as refused:
        scene.take()
    assert refused.value.reason == quota_service.DECODING
    assert scene.service.owner_address == "10.0.0.1:7000"
    for _ in range(10):
        scene.reactor.advance(0.0)
    scene.now_s = 12.0
    assert scene.take().rows[0].tokens > 0
    assert scene.service.describe()[0]["per_s"] == 1.0


def test_a_newer_version_ends_the_decoding_of_an_older_one(scene):
    scene.machine.configure(*make_accounts(2000))
    scene.service.tick()
    scene.machine.configure(MILL._replace(per_s=7.0))
    scene.service.tick()
    for _ in range(10):
        scene.reactor.advance(0.0)
    scene.now_s = 10.0
    scene.take()
    assert scene.service.describe()[0]["per_s"] == 7.0


class Pair:
    """An owner, and another instance that keeps tokens of it."""

    def __init__(self):
        self.owner = Scene()
        self.other = Scene("c1")
        self.other.log.is_leader = False
        self.other.log.owner = self.owner.service

    def run(self, until_s):
        now_s = self.other.now_s
        while now_s < until_s:
            now_s += 0.1
            self.owner.now_s = self.other.now_s = now_s
            self.owner.service.tick()
            self.other.service.tick()

    def take_of_pool(self, tokens):
        return self.other.take(sequence=0, tokens=tokens)


@pytest.fixture
def pair():
    made = Pair()
    made.run(5.0)
    made.owner.take()
    made.run(8.0)
    return made


def test_another_instance_passes_on_tokens_that_the_owner_counts(pair):
    answer = pair.take_of_pool(-100)
    (row,) = answer.rows
    assert 0 < row.tokens <= pair.owner.service.describe()[0]["out"]
    assert 0 < answer.ttl_ms <= 3000
    pair.run(8.6)
    # Those that were passed on count until they expire, beside the new ones.
    held = pair.other.service._standby.count_tokens()
    assert pair.owner.service.describe()[0]["out"] >= row.tokens + held > held


def test_tokens_for_other_instances_end_when_their_owner_is_lost(pair):
    pair.other.log.owner = Scene().service
    pair.other.log.owner._log.is_leader = False
    pair.run(10.0)
    assert pair.take_of_pool(-1).rows[0].tokens == 1
    pair.run(11.6)
    assert pair.take_of_pool(-1).rows[0].tokens == 0


def test_the_owner_asks_no_other_instance_for_tokens(pair):
    assert pair.owner.log.passed == []
    assert pair.other.log.passed


def test_instances_keep_no_tokens_where_accounts_have_no_limits():
    pair = Pair()
    pair.other.machine.configure(MILL._replace(per_s=0.0))
    pair.run(5.0)
    assert pair.other.log.passed == []


def test_an_account_that_is_not_used_needs_no_pool(pair):
    pair.run(20.0)
    assert pair.take_of_pool(-1).rows[0].tokens == 0
    assert pair.owner.service.describe()[0]["out"] == 0
