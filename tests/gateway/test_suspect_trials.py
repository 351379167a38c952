"""Trials of refused requests at the node next to a backend server.

Guards against trials that are granted and then do not run. Each one delayed the
next by up to 4 s, so that a harmless request and all trees that call it were
refused for more than 15 s after the last fault (issue 9).
"""

from twisted.internet import defer

from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.decisions.quarantine import quarantine_refusal
from cranberrymux.gateway import exit_suspects
from cranberrymux.gateway import hop
from cranberrymux.node.http import headers as headers_module


class Clock:
    def __init__(self):
        self.seconds = 100.0

    def now_s(self):
        return self.seconds


class Runs:
    def start(self, ticket_id, fingerprint, is_suspect):
        """Needs no record of runs."""


class Quarantine:
    """Refuses some digests, isolates others, and grants trials on request."""

    def __init__(self):
        self.records = {"any": None}
        self.claims = []
        self.ended = []
        self.started = []
        self.running = Runs()

    def classify(self, fingerprint):
        if fingerprint.digest.startswith("refused"):
            return quarantine_refusal.make(3, may_have_run=False)
        return isolation.Isolation.ALONE

    def get_trial_wait_s(self, fingerprint):
        del fingerprint
        return 0.0

    def claim_trial(self, fingerprint):
        claim = defer.Deferred()
        self.claims.append((fingerprint.digest, claim))
        return claim

    def end_trial(self, trial):
        self.ended.append(trial)

    def start_trial(self, ticket_id, trial):
        del ticket_id
        self.started.append(trial)


class Parts:
    def __init__(self):
        self.clock = Clock()
        self.quarantine = Quarantine()


class Call:
    def __init__(self, ticket_id, digest, now_s, left_s=1.0):
        self.ticket_id = ticket_id
        self.digest = digest
        self.rank = 1.0
        self.start_by_s = now_s + 0.4 * left_s
        self.deadline_s = now_s + left_s
        self.headers = headers_module.Headers([])


class Node:
    """Suspects at one node, and what it does with its requests."""

    def __init__(self):
        self.parts = Parts()
        self.scheduler = slot_scheduler.SlotScheduler(8)
        self.suspects = exit_suspects.ExitSuspects(
            self.parts, self.scheduler, self
        )
        self.calls = {}
        self.alone = []
        self.refused = {}

    def hold(self, digest, left_s=1.0):
        now_s = self.parts.clock.now_s()
        call = Call(len(self.calls), digest, now_s, left_s)
        self.calls[call.ticket_id] = call
        assert self.suspects.hold(call)
        return call.ticket_id

    def finish(self, ticket_id):
        now_s = self.parts.clock.now_s()
        self.scheduler.finish(now_s, ticket_id, True)
        self.suspects.ended(ticket_id)

    def offer_slot(self, ticket_id, now_s):
        self.scheduler._start(now_s, ticket_id)

    def start_alone(self, ticket_id):
        now_s = self.parts.clock.now_s()
        self.scheduler.start_alone(now_s, ticket_id)
        self.alone.append(ticket_id)
        self.suspects.run_started(self.calls[ticket_id])

    def refuse_held(self, ticket_id, reason):
        self.refused[ticket_id] = reason
        self.suspects.ended(ticket_id)

    def is_open(self, ticket_id):
        return ticket_id not in self.refused


def test_trial_that_is_granted_late_runs():
    node = Node()
    trial = node.hold("refused")
    node.parts.clock.seconds += 0.6
    node.parts.quarantine.claims[0][1].callback("trial-0")
    assert node.alone == [trial]
    assert node.parts.quarantine.started == ["trial-0"]
    assert node.parts.quarantine.ended == []


def test_no_other_request_takes_the_turn_of_a_trial_meanwhile():
    node = Node()
    trial = node.hold("refused")
    other = node.hold("alone")
    assert node.refused == {other: hop.SUSPECT_WAITS}
    node.parts.clock.seconds += 0.1
    node.parts.quarantine.claims[0][1].callback("trial-0")
    assert node.alone == [trial]
    assert node.parts.quarantine.ended == []


def test_only_one_trial_is_claimed_at_a_time():
    node = Node()
    node.hold("refused-1")
    second = node.hold("refused-2")
    assert node.refused == {second: hop.QUARANTINED}
    assert len(node.parts.quarantine.claims) == 1


def test_trial_that_is_not_granted_leaves_its_turn_to_others():
    node = Node()
    trial = node.hold("refused")
    node.parts.quarantine.claims[0][1].callback(None)
    other = node.hold("alone")
    assert node.refused == {trial: hop.QUARANTINED}
    assert node.alone == [other]


def test_no_trial_is_claimed_for_a_request_that_would_end_too_late():
    node = Node()
    node.scheduler.start_alone(node.parts.clock.now_s(), 1000)
    node.parts.clock.seconds += 0.5
    node.scheduler.finish(node.parts.clock.now_s(), 1000, True)
    late = node.hold("refused", left_s=0.4)
    assert node.refused == {late: hop.QUARANTINED}
    assert node.parts.quarantine.claims == []
