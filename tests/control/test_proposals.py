"""A command's author is told no more than what is proven."""

from twisted.internet import defer

from cranberrymux.consensus import entry
from cranberrymux.control import proposals


def make_entry(log_index, term):
    return entry.Entry(log_index, term, entry.EntryKind.COMMAND, b"")


def take(waiting):
    results = []
    waiting.addCallback(results.append)
    return results


def test_a_commit_at_its_place_and_term_answers():
    waiting = proposals.Proposals()
    results = take(waiting.add(5, 2))
    waiting.settle(make_entry(4, 2), "other")
    assert results == []
    waiting.settle(make_entry(5, 2), "mine")
    assert results == ["mine"]
    assert not len(waiting)


def test_a_commit_of_another_term_proves_that_it_never_will_be():
    waiting = proposals.Proposals()
    results = take(waiting.add(5, 2))
    waiting.settle(make_entry(5, 3), "other")
    assert (results[0].committed, results[0].rejected) == (False, True)


def test_an_overwritten_place_or_a_snapshot_proves_nothing():
    waiting = proposals.Proposals()
    overwritten = take(waiting.add(5, 2))
    passed = take(waiting.add(5, 3))
    assert (overwritten[0].committed, overwritten[0].rejected) == (False, False)
    waiting.forget_up_to(5)
    assert (passed[0].committed, passed[0].rejected) == (False, False)


def test_giving_up_forgets():
    waiting = proposals.Proposals()
    given_up = waiting.add(5, 2)
    given_up.addErrback(lambda reason: reason.trap(defer.CancelledError))
    given_up.cancel()
    assert not len(waiting)
    waiting.settle(make_entry(5, 2), "late")
