"""A proposed command is answered with only what is proven about it.

Guards against reporting a command as rejected although a replica that still
holds its entry may commit it, or as committed although its entry was replaced.
"""

from twisted.internet import defer

from cranberrymux.consensus import entry
from cranberrymux.control import proposals


def make_entry(log_index, term):
    return entry.Entry(log_index, term, entry.EntryKind.COMMAND, b"")


def collect_results(deferred):
    results = []
    deferred.addCallback(results.append)
    return results


def test_commit_at_the_index_and_term_answers_the_command():
    pending = proposals.Proposals()
    results = collect_results(pending.add(5, 2))
    pending.resolve(make_entry(4, 2), "other")
    assert results == []
    pending.resolve(make_entry(5, 2), "mine")
    assert results == ["mine"]
    assert not len(pending)


def test_commit_of_another_term_rejects_the_command():
    pending = proposals.Proposals()
    results = collect_results(pending.add(5, 2))
    pending.resolve(make_entry(5, 3), "other")
    assert (results[0].committed, results[0].rejected) == (False, True)


def test_overwritten_or_snapshotted_command_stays_undecided():
    pending = proposals.Proposals()
    overwritten = collect_results(pending.add(5, 2))
    snapshotted = collect_results(pending.add(5, 3))
    assert (overwritten[0].committed, overwritten[0].rejected) == (False, False)
    pending.mark_undecided_up_to(5)
    assert (snapshotted[0].committed, snapshotted[0].rejected) == (False, False)


def test_cancelled_proposal_is_dropped():
    pending = proposals.Proposals()
    cancelled = pending.add(5, 2)
    cancelled.addErrback(lambda reason: reason.trap(defer.CancelledError))
    cancelled.cancel()
    assert not len(pending)
    pending.resolve(make_entry(5, 2), "late")
