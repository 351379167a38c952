"""Guards against `NOT_RUN` for an attempt that runs, before or afterwards.

A model of two nodes and their network delays, loses and reorders attempts and
restarts the callee's node. Each mechanism is also disabled in turn, which the
check must detect.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import call_evidence
from cranberrymux.decisions.answers import classifier
from cranberrymux.decisions.answers import reach
from cranberrymux.decisions.answers import tombstone_settings
from cranberrymux.decisions.answers import tombstones
from cranberrymux.decisions.answers import vouch_verdict
from cranberrymux.models import answer_kind
from tests import profiles

Kind = answer_kind.AnswerKind
Reach = reach.Reach
Verdict = vouch_verdict.VouchVerdict
SETTINGS = tombstone_settings.TombstoneSettings(
    handed_age_s=20.0,
    maximum_handed=4,
    refused_age_s=200.0,
    maximum_refused=4,
)
KEYS = strategies.integers(0, 9)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["send", "send", "send", "arrive", "arrive", "lose", "lose"]
            + ["restart", "wait"]
        ),
        KEYS,
    ),
    min_size=8,
    max_size=60,
)


class Network:
    """A caller's node, a callee's node and the attempts in flight.

    An attempt arrives long after the caller's node lost its answer, or never;
    the callee's node restarts; its tables are small and expire.
    """

    def __init__(self):
        self.now_s = 0.0
        self.incarnation = 1
        self.tombstones = self.make_tombstones()
        self.sent = {}
        self.in_flight = []
        self.ran = set()
        self.answered_not_run = set()

    def make_tombstones(self):
        return tombstones.Tombstones(self.now_s, self.incarnation, SETTINGS)

    def send(self, number):
        if number not in self.sent:
            self.sent[number] = (self.now_s, self.incarnation)
            self.in_flight.append(number)

    def arrive(self, number):
        if number not in self.in_flight:
            return
        self.in_flight.remove(number)
        sent_s, _ = self.sent[number]
        if self.now_s - sent_s >= SETTINGS.refused_age_s:
            return  # The connection is closed by then and the attempt lost.
        if self.tombstones.hand_over(self.now_s, self.key(number)):
            self.ran.add(number)
        assert not self.ran & self.answered_not_run

    def lose(self, number):
        if number not in self.sent:
            return
        sent_s, incarnation = self.sent[number]
        vouch = self.tombstones.refuse(self.now_s, self.key(number))
        evidence = call_evidence.CallEvidence(
            Reach.NODE,
            sent_incarnation=incarnation,
            age_s=self.now_s - sent_s,
            vouch=vouch,
        )
        if classifier.classify(evidence).kind is Kind.NOT_RUN:
            self.answered_not_run.add(number)
        assert not self.ran & self.answered_not_run

    def restart(self, number):
        if number:
            return
        # Attempts in flight to the ended process are lost with it.
        self.in_flight.clear()
        self.incarnation += 1
        self.tombstones = self.make_tombstones()

    def wait(self, number):
        self.now_s += number

    @staticmethod
    def key(number):
        return attempt_key.AttemptKey("id", "1.1", number + 1)


def check(steps):
    network = Network()
    for name, number in steps:
        getattr(network, name)(number)


@profiles.DETERMINISTIC
@hypothesis.given(STEPS)
def test_attempt_answered_as_not_run_never_runs(steps):
    check(steps)


def _ignore_tombstone(self, now_s, key):
    _hand_over(self, now_s, key)
    return True


def _refuse_handed_over(self, now_s, key):
    self._handed.pop(key, None)
    return _refuse(self, now_s, key)


def _evict_without_shortening_cover(self):
    self._handed.popitem(last=False)


_hand_over = tombstones.Tombstones.hand_over
_refuse = tombstones.Tombstones.refuse


def _classify_without_verdict(evidence):
    vouch = evidence.vouch._replace(verdict=Verdict.REFUSED)
    return _classify(evidence._replace(vouch=vouch))


def _classify_without_age(evidence):
    return _classify(evidence._replace(age_s=-1.0))


def _classify_without_age_or_incarnation(evidence):
    incarnation = evidence.vouch.incarnation
    return _classify(
        evidence._replace(age_s=-1.0, sent_incarnation=incarnation)
    )


_classify = classifier.classify

MUTATIONS = {
    "tombstones: a refused attempt is handed over": (
        tombstones.Tombstones,
        "hand_over",
        _ignore_tombstone,
    ),
    "tombstones: a handed-over attempt is refused": (
        tombstones.Tombstones,
        "refuse",
        _refuse_handed_over,
    ),
    "tombstones: evicted hand-overs do not shorten the covered time": (
        tombstones.Tombstones,
        "_evict_oldest_hand_over",
        _evict_without_shortening_cover,
    ),
    "classifier: the verdict is not checked": (
        classifier,
        "classify",
        _classify_without_verdict,
    ),
    "classifier: the age is not compared": (
        classifier,
        "classify",
        _classify_without_age,
    ),
    # The covered time begins at the node's start at the earliest, so it also
    # excludes an earlier incarnation: with only the incarnation ignored, the
    # check does not fail.
    "classifier: neither the age nor the incarnation is compared": (
        classifier,
        "classify",
        _classify_without_age_or_incarnation,
    ),
    "tombstones: hand-overs and tombstones expire at once": (
        tombstones,
        "_oldest_s",
        lambda table: -1e9 if table else 1e9,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_check_fails_when_a_mechanism_is_disabled(monkeypatch, name):
    monkeypatch.setattr(*MUTATIONS[name])

    @profiles.SEARCHING
    @hypothesis.given(STEPS)
    def check_quickly(steps):
        check(steps)

    with pytest.raises(AssertionError):
        check_quickly()
