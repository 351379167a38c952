"""Guards against requests to a backend server that does not accept them.

That happens when an announcement or a departure arrives late, twice or out of
order, or comes from an earlier process or from another backend server.
"""

import math

import pytest

from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.presence import presence as presence_module

SERVING = announcement.BackendState.SERVING
DRAINING = announcement.BackendState.DRAINING
Change = presence_module.PresenceChange


def make_announcement(sequence, started_ms=100, state=SERVING, backend_id="b"):
    return announcement.Announcement(
        backend_id, started_ms, sequence, "s", "10.0.0.1:80", "z", 4, state, 0.0
    )


@pytest.fixture
def presence():
    made = presence_module.Presence(5.0)
    assert made.announce(make_announcement(5), 0.0) is Change.ARRIVED
    return made


def test_announcement_is_valid_for_its_lifetime(presence):
    assert presence.is_serving(5.0)
    assert not presence.is_serving(5.1)
    presence.announce(make_announcement(6), 6.0)
    assert presence.is_serving(6.0)


def test_late_announcement_is_stale(presence):
    assert (
        presence.announce(make_announcement(6, state=DRAINING), 1.0)
        is Change.DRAINING
    )
    assert presence.announce(make_announcement(5), 1.1) is Change.STALE
    assert not presence.is_serving(1.1)


def test_announcement_of_an_earlier_process_is_stale(presence):
    presence.announce(make_announcement(1, started_ms=200, backend_id="c"), 1.0)
    assert presence.announce(make_announcement(99), 1.1) is Change.STALE
    assert presence.current.backend_id == "c"


def test_draining_backend_server_never_serves_again(presence):
    presence.announce(make_announcement(6, state=DRAINING), 1.0)
    assert presence.announce(make_announcement(7), 1.1) is Change.NONE
    assert not presence.is_serving(1.1)


def test_departure_without_drain_holds_until_a_later_start(presence):
    assert presence.leave("b", 1000) is Change.LEFT
    assert not presence.is_serving(0.1)
    assert presence.announce(make_announcement(6), 0.2) is Change.STALE
    assert (
        presence.announce(make_announcement(1, started_ms=300), 0.3)
        is Change.ARRIVED
    )
    assert presence.is_serving(0.3)


def test_departure_before_first_announcement_makes_older_starts_stale():
    presence = presence_module.Presence(5.0)
    presence.leave("b", 1000)
    assert presence.announce(make_announcement(5), 0.1) is Change.STALE
    assert (
        presence.announce(make_announcement(1, started_ms=1001), 0.2)
        is Change.ARRIVED
    )


def test_departure_of_another_backend_server_changes_nothing(presence):
    assert presence.leave("other", 1000) is Change.NONE
    assert presence.is_serving(0.1)


def test_process_and_encoded_id_are_those_of_the_newest_announcement():
    """Guards against requests for a backend server that was replaced."""
    presence = presence_module.Presence(5.0)
    for number, name in enumerate(("b-1", "b-1", "b-2", "b-1"), 1):
        presence.announce(
            make_announcement(1, started_ms=number, backend_id=name), 0.0
        )
        assert presence.process == presence.current.process
        assert presence.encoded_id == name.encode()


def test_time_of_serving_follows_each_change():
    """Guards against requests sent on the word of an earlier announcement."""
    presence = presence_module.Presence(5.0)
    assert presence.serving_until_s == -math.inf
    presence.announce(make_announcement(1), 1.0)
    presence.announce(make_announcement(2), 2.0)
    presence.announce(make_announcement(2), 3.0)  # Stale.
    assert presence.serving_until_s == 7.0
    presence.announce(make_announcement(3, state=DRAINING), 3.0)
    assert presence.serving_until_s == -math.inf
    presence.announce(make_announcement(4), 3.5)  # It cannot serve again.
    assert presence.serving_until_s == -math.inf
    presence.announce(make_announcement(1, started_ms=200), 4.0)
    assert presence.serving_until_s == 9.0
    presence.leave("b", 300)
    assert presence.serving_until_s == -math.inf


# Guards against requests to a backend server that drains, hidden by another
# writer whose sequence is far higher than its own.
@pytest.mark.parametrize("started_ms", [0, 100])
def test_draining_is_believed_whatever_the_sequence(started_ms):
    presence = presence_module.Presence(5.0)
    presence.announce(make_announcement(5, started_ms), 0.0)
    presence.announce(make_announcement(10**15, started_ms), 1.0)
    drained = make_announcement(6, started_ms, DRAINING)
    assert presence.announce(drained, 1.1) is Change.DRAINING
    for sequence in (7, 10**15 + 1, 8, 9):
        presence.announce(make_announcement(sequence, started_ms), 1.2)
        assert not presence.is_serving(1.2)


@pytest.mark.parametrize("started_ms", [0, 100])
def test_departure_is_believed_whatever_the_sequence(started_ms):
    presence = presence_module.Presence(5.0)
    presence.announce(make_announcement(10**15, started_ms), 0.0)
    assert presence.leave("b", 1000) is Change.LEFT
    for sequence in (10**15 + 1, 6, 7):
        received = make_announcement(sequence, started_ms)
        assert presence.announce(received, 1.2) is Change.STALE
        assert not presence.is_serving(1.2)


# Guards against a backend server that is out of service for good after one
# announcement of another writer.
@pytest.mark.parametrize("started_ms", [0, 100])
def test_own_announcements_hold_after_one_with_a_high_sequence(started_ms):
    presence = presence_module.Presence(5.0)
    presence.announce(make_announcement(5, started_ms), 0.0)
    presence.announce(make_announcement(10**15, started_ms), 1.0)
    for sequence in range(6, 12):
        presence.announce(make_announcement(sequence, started_ms), sequence)
    assert presence.is_serving(12.0)


# Guards against a new start that is taken for a late announcement.
def test_new_process_without_a_start_time_serves_at_once(presence):
    presence = presence_module.Presence(5.0)
    presence.announce(make_announcement(50, started_ms=0), 0.0)
    fresh = make_announcement(1, started_ms=0, backend_id="c")
    assert presence.announce(fresh, 1.0) is Change.ARRIVED
    assert presence.encoded_id == b"c"
    late = make_announcement(49, started_ms=0)
    assert presence.announce(late, 1.1) is Change.STALE
    assert presence.encoded_id == b"c"


def test_drained_process_does_not_replace_its_successor():
    presence = presence_module.Presence(5.0)
    presence.announce(make_announcement(5, 0, DRAINING), 0.0)
    presence.announce(make_announcement(1, 0, backend_id="c"), 1.0)
    for sequence in (6, 7, 8):
        late = make_announcement(sequence, 0)
        assert presence.announce(late, 1.1) is Change.STALE
    assert presence.encoded_id == b"c"
    assert presence.is_serving(2.0)


# Guards against a backend server that is out of service for good after one
# announcement of another writer with a later start time.
@pytest.mark.parametrize("backend_id", ["b", "c"])
def test_earlier_start_serves_again_once_the_later_one_is_silent(
    presence, backend_id
):
    foreign = make_announcement(1, started_ms=200, backend_id=backend_id)
    assert presence.announce(foreign, 1.0) is Change.ARRIVED
    assert presence.announce(make_announcement(6), 5.9) is Change.STALE
    assert presence.announce(make_announcement(7), 6.1) is Change.ARRIVED
    assert presence.encoded_id == b"b"
    assert presence.is_serving(6.1)


def test_earlier_start_stays_out_after_the_later_one_has_left(presence):
    foreign = make_announcement(1, started_ms=200, backend_id="c")
    presence.announce(foreign, 1.0)
    presence.leave("c", 1000)
    for sequence in (6, 7, 8):
        received = make_announcement(sequence)
        assert presence.announce(received, 9.0) is Change.STALE


def test_draining_of_an_earlier_process_changes_nothing(presence):
    fresh = make_announcement(1, started_ms=200, backend_id="c")
    presence.announce(fresh, 1.0)
    late = make_announcement(6, state=DRAINING)
    assert presence.announce(late, 1.1) is Change.STALE
    assert presence.is_serving(2.0)


def test_departure_of_a_later_start_is_kept(presence):
    """Guards against a revival by a departure that is told again, late."""
    presence.leave("b", 1000)
    presence.announce(make_announcement(9, started_ms=50, state=DRAINING), 0.1)
    assert presence.announce(make_announcement(10), 0.2) is Change.STALE
