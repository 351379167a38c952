"""Tokens at control instances.

Guards against tokens that an instance hands out without leading, tokens of an
earlier term that count on, limits of an earlier configuration, and an instance
that answers nothing while it decodes a large one.
"""

import pytest
from twisted.internet import task

from cranberrymux.control import quota_service
from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.quotas import quota_settings
from cranberrymux.decisions.routes import route_document
from cranberrymux.telemetry import metrics
from cranberrymux.telemetry import metrics_settings
from cranberrymux.wire.gen.messages import ttypes
from tests.gateway import mesh

MILL = client_account.ClientAccount("mill", ("k",), None, 10.0, 10.0)


class Log:
    def __init__(self):
        self.is_leader = True
        self.lease_ms = 500
        self.present_term = 1

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
    def __init__(self):
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
