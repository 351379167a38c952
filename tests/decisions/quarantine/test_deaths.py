"""Quarantine and admission of a whole service under a crashing request.

Guards against a query of death: a request that crashes its backend server and
is resent to the next one until the service has none left. At most three backend
servers may die before the request is refused for good, and requests that were
merely in flight must become clear again.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.admission import admission_settings
from cranberrymux.decisions.admission import admitted
from cranberrymux.decisions.admission import controller
from cranberrymux.decisions.admission import outcome
from cranberrymux.decisions.admission import ticket
from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.models import refusal
from cranberrymux.models import refusal_reason
from tests import profiles

CRASHING_BODY = b"poison"
ENDPOINTS = 4


class Endpoint:
    """Quarantine and admission of one endpoint, combined as in a node."""

    def __init__(self, service, name):
        self.service = service
        self.quarantine = quarantine.Quarantine(
            quarantine_settings.QuarantineSettings(), name, 1
        )
        self.admission = controller.AdmissionController(
            admission_settings.AdmissionSettings(slots=8), service.generator
        )
        self.running = {}
        self.suspects = set()

    def offer(self, now_s, name, print_):
        verdict = self.quarantine.classify(now_s, print_)
        if isinstance(verdict, refusal.Refusal):
            return verdict
        is_suspect = verdict is not isolation.Isolation.CLEAR
        runs_alone = verdict is isolation.Isolation.ALONE
        one = ticket.Ticket(name, 0, 0, now_s + 10.0, is_suspect, runs_alone)
        result = self.admission.offer(now_s, one)
        if not isinstance(result, admitted.Admitted):
            self.admission.cancel(now_s, name)
            return result
        assert not (is_suspect and self.suspects), (
            "a suspect ran beside another suspect"
        )
        assert not (runs_alone and self.running), (
            "a call that must run alone ran beside another"
        )
        self.running[name] = print_
        if is_suspect:
            self.suspects.add(name)
        self.quarantine.start(name, print_, is_suspect=is_suspect)
        return result

    def learn(self, now_s, report):
        self.quarantine.merge(now_s, [report])

    def finish(self, now_s, name):
        self.running.pop(name)
        self.suspects.discard(name)
        self.admission.finish(now_s, name, outcome.Outcome.OK)
        for report in self.quarantine.finish(now_s, name, is_clean=True):
            self.service.share(now_s, report)

    def die(self, now_s):
        for report in self.quarantine.endpoint_died(now_s):
            self.service.share(now_s, report)
        for name in self.running:
            self.admission.finish(now_s, name, outcome.Outcome.LOST)
        self.running.clear()
        self.suspects.clear()


class Service:
    """Endpoints with shared counts, where one request crashes each of them."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.deaths = 0
        self.endpoints = [
            Endpoint(self, f"e{number}") for number in range(ENDPOINTS)
        ]

    def share(self, now_s, report):
        for endpoint in self.endpoints:
            endpoint.learn(now_s, report)

    def run(self, steps, changes_id):
        verdicts = []
        innocents = {}
        now_s = 0.0
        for step in range(steps):
            now_s += 0.02
            endpoint = self.generator.choice(self.endpoints)
            if step % 7 == 6:
                request_id = f"poison-{step}" if changes_id else "poison"
                print_ = fingerprint.make(
                    "s",
                    request_id,
                    "PUT",
                    "/",
                    body=CRASHING_BODY,
                    body_bytes=6,
                )
                verdict = endpoint.offer(now_s, f"p{step}", print_)
                verdicts.append(verdict)
                if isinstance(verdict, admitted.Admitted):
                    self.deaths += 1
                    endpoint.die(now_s)
                continue
            if endpoint.running and self.generator.random() < 0.6:
                endpoint.finish(now_s, min(endpoint.running))
                continue
            name = f"i{step % 50}"
            print_ = fingerprint.make(
                "s", name, "GET", f"/{name}", body=b"", body_bytes=0
            )
            verdict = endpoint.offer(now_s, f"{name}-{step}", print_)
            innocents[name] = verdict
        return verdicts, innocents


@hypothesis.settings(profiles.DETERMINISTIC, max_examples=30)
@hypothesis.given(strategies.integers(0, 1 << 30), strategies.booleans())
def test_crashing_request_is_refused_for_good_after_at_most_three_deaths(
    seed, changes_id
):
    service = Service(seed)
    verdicts, innocents = service.run(3000, changes_id)
    assert 1 <= service.deaths <= 3
    assert verdicts[-1].reason is refusal_reason.RefusalReason.QUARANTINED
    assert verdicts[-1].retry_after_ms == 0
    for verdict in innocents.values():
        if isinstance(verdict, refusal.Refusal):
            assert verdict.reason is not (
                refusal_reason.RefusalReason.QUARANTINED
            )


def test_deaths_exceed_three_when_counts_are_not_merged(monkeypatch):
    monkeypatch.setattr(Endpoint, "learn", lambda self, now_s, report: None)
    service = Service(1)
    service.run(3000, changes_id=False)
    assert service.deaths > 3


def test_deaths_exceed_three_when_only_the_request_id_is_counted(monkeypatch):
    monkeypatch.setattr(
        fingerprint.Fingerprint,
        "keys",
        property(lambda self: ("s/id:" + self.request_id,) * 2),
    )
    service = Service(1)
    service.run(3000, changes_id=True)
    assert service.deaths > 3


def test_suspect_runs_beside_another_call_when_it_is_not_marked(monkeypatch):
    offer = controller.AdmissionController.offer

    def offer_unmarked(self, now_s, one):
        return offer(self, now_s, one._replace(is_suspect=False))

    monkeypatch.setattr(controller.AdmissionController, "offer", offer_unmarked)
    with pytest.raises(AssertionError, match="beside"):
        for seed in range(20):
            Service(seed).run(3000, changes_id=False)


def test_innocent_calls_stay_suspects_when_clean_runs_clear_nothing(
    monkeypatch,
):
    def suspects():
        service = Service(1)
        service.run(6000, changes_id=False)
        prints = [
            fingerprint.make(
                "s", f"i{number}", "GET", f"/i{number}", body=b"", body_bytes=0
            )
            for number in range(50)
        ]
        judged = [
            service.endpoints[0].quarantine.classify(121.0, one)
            for one in prints
        ]
        return sum(one is not isolation.Isolation.CLEAR for one in judged)

    assert suspects() == 0
    monkeypatch.setattr(
        quarantine.Quarantine, "_clear", lambda *args, **kwargs: []
    )
    assert suspects() > 0
