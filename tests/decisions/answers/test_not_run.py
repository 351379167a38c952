"""Not run means not run, against a model of the two nodes and the wire.

Each check is shown to fail with its mechanism taken out.
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
from tests.decisions import profiles

Kind = answer_kind.AnswerKind
Reach = reach.Reach
Verdict = vouch_verdict.VouchVerdict
SETTINGS = tombstone_settings.TombstoneSettings(
    handed_age_s=20.0,
    handed_maximum=4,
    refused_age_s=200.0,
    refused_maximum=4,
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


class Wire:
    """A caller's node, a callee's node and what is under way between them.

    A call arrives long after its caller lost touch, or never; the callee's
    node restarts; its memory is small and ages.
    """

    def __init__(self):
        self.now_s = 0.0
        self.incarnation = 1
        self.memory = self.make_memory()
        self.sent = {}
        self.under_way = []
        self.ran = set()
        self.said_not_run = set()

    def make_memory(self):
        return tombstones.Tombstones(self.now_s, self.incarnation, SETTINGS)

    def send(self, number):
        if number not in self.sent:
            self.sent[number] = (self.now_s, self.incarnation)
            self.under_way.append(number)

    def arrive(self, number):
        if number not in self.under_way:
            return
        self.under_way.remove(number)
        sent_s, _ = self.sent[number]
        if self.now_s - sent_s >= SETTINGS.refused_age_s:
            return  # The connection has ended by then, and the call with it.
        if self.memory.hand_over(self.now_s, self.key(number)):
            self.ran.add(number)
        assert not self.ran & self.said_not_run

    def lose(self, number):
        if number not in self.sent:
            return
        sent_s, incarnation = self.sent[number]
        word = self.memory.refuse(self.now_s, self.key(number))
        evidence = call_evidence.CallEvidence(
            Reach.NODE,
            sent_incarnation=incarnation,
            age_s=self.now_s - sent_s,
            vouch=word,
        )
        if classifier.classify(evidence).kind is Kind.NOT_RUN:
            self.said_not_run.add(number)
        assert not self.ran & self.said_not_run

    def restart(self, number):
        if number:
            return
        # What is under way to a process that ended is lost with it.
        self.under_way.clear()
        self.incarnation += 1
        self.memory = self.make_memory()

    def wait(self, number):
        self.now_s += number

    @staticmethod
    def key(number):
        return attempt_key.AttemptKey("id", "1.1", number + 1)


def check(steps):
    wire = Wire()
    for name, number in steps:
        getattr(wire, name)(number)


@profiles.DETERMINISTIC
@hypothesis.given(STEPS)
def test_not_run_is_true(steps):
    check(steps)


def _hand_over_always(self, now_s, key):
    _hand_over(self, now_s, key)
    return True


def _refuse_what_was_handed_over(self, now_s, key):
    self._handed.pop(key, None)
    return _refuse(self, now_s, key)


def _forget_without_note(self):
    self._handed.popitem(last=False)


_hand_over = tombstones.Tombstones.hand_over
_refuse = tombstones.Tombstones.refuse


def _classify_without_verdict(evidence):
    word = evidence.vouch._replace(verdict=Verdict.REFUSED)
    return _classify(evidence._replace(vouch=word))


def _classify_without_cover(evidence):
    return _classify(evidence._replace(age_s=-1.0))


def _classify_without_cover_or_incarnation(evidence):
    own = evidence.vouch.incarnation
    return _classify(evidence._replace(age_s=-1.0, sent_incarnation=own))


_classify = classifier.classify

MUTATIONS = {
    "tombstone: a late arrival runs": (
        tombstones.Tombstones,
        "hand_over",
        _hand_over_always,
    ),
    "tombstone: written for what was handed over": (
        tombstones.Tombstones,
        "refuse",
        _refuse_what_was_handed_over,
    ),
    "tombstone: forgotten hand-overs do not shorten the cover": (
        tombstones.Tombstones,
        "_forget_first_handed",
        _forget_without_note,
    ),
    "classifier: the verdict is not read": (
        classifier,
        "classify",
        _classify_without_verdict,
    ),
    "classifier: the cover is not compared": (
        classifier,
        "classify",
        _classify_without_cover,
    ),
    # A cover begins at the node's start, so it holds for the incarnation too:
    # without the incarnation alone, the check does not fail.
    "classifier: neither the cover nor the incarnation is compared": (
        classifier,
        "classify",
        _classify_without_cover_or_incarnation,
    ),
    "tombstone: what is remembered is forgotten at once": (
        tombstones,
        "_first_s",
        lambda table: -1e9 if table else 1e9,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
def test_the_check_fails_without(monkeypatch, name):
    monkeypatch.setattr(*MUTATIONS[name])

    @profiles.SEARCHING
    @hypothesis.given(STEPS)
    def check_quickly(steps):
        check(steps)

    with pytest.raises(AssertionError):
        check_quickly()
