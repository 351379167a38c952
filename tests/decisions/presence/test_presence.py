"""Announcements that come late, twice, forged or from an earlier life."""

import pytest

from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.presence import presence as presence_module

SERVING = announcement.BackendState.SERVING
DRAINING = announcement.BackendState.DRAINING
Change = presence_module.PresenceChange


def say(sequence, born_ms=100, state=SERVING, backend_id="b"):
    return announcement.Announcement(
        backend_id, born_ms, sequence, "s", "10.0.0.1:80", "z", 4, state, 0.0
    )


@pytest.fixture
def presence():
    made = presence_module.Presence(5.0)
    assert made.announce(say(5), 0.0) is Change.ARRIVED
    return made


def test_an_announcement_counts_for_its_time(presence):
    assert presence.is_serving(5.0)
    assert not presence.is_serving(5.1)
    presence.announce(say(6), 6.0)
    assert presence.is_serving(6.0)


def test_a_late_announcement_changes_nothing(presence):
    assert presence.announce(say(6, state=DRAINING), 1.0) is Change.DRAINING
    assert presence.announce(say(5), 1.1) is Change.STALE
    assert not presence.is_serving(1.1)


def test_news_of_an_earlier_life_changes_nothing(presence):
    presence.announce(say(1, born_ms=200, backend_id="c"), 1.0)
    assert presence.announce(say(99), 1.1) is Change.STALE
    assert presence.current.backend_id == "c"


def test_who_leaves_does_not_come_back(presence):
    presence.announce(say(6, state=DRAINING), 1.0)
    assert presence.announce(say(7), 1.1) is Change.NONE
    assert not presence.is_serving(1.1)


def test_a_departure_counts_without_a_drain(presence):
    assert presence.leave("b", 1000) is Change.LEFT
    assert not presence.is_serving(0.1)
    assert presence.announce(say(6), 0.2) is Change.STALE
    assert presence.announce(say(1, born_ms=300), 0.3) is Change.ARRIVED
    assert presence.is_serving(0.3)


def test_a_departure_heard_first_holds_against_late_announcements():
    presence = presence_module.Presence(5.0)
    presence.leave("b", 1000)
    assert presence.announce(say(5), 0.1) is Change.STALE
    assert presence.announce(say(1, born_ms=1001), 0.2) is Change.ARRIVED


def test_the_departure_of_another_changes_nothing(presence):
    assert presence.leave("other", 1000) is Change.NONE
    assert presence.is_serving(0.1)
