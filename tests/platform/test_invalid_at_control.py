"""Odd configurations at control instances that run as processes.

Guards against one that is answered 503 each time it is sent, that ends an
instance, or after which no other is accepted or can be loaded.
"""

import pytest

from tests.platform import fleet as fleet_module
from tests.platform import test_invalid_configurations

wait_until = fleet_module.wait_until
CLIENT_ERRORS = range(400, 500)


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleet_module.Fleet(tmp_path_factory.mktemp("fleet"), 3) as fleet:
        fleet.put_until_accepted(1, 0)
        wait_until(lambda: len(fleet.voters()) == 3)
        yield fleet


def get_version(fleet):
    return wait_until(lambda: max(i.get() or 0 for i in fleet.instances))


def put_everywhere(fleet, base, body):
    """Sends a body to each instance; returns what the leader answers.

    A follower answers the same, or names the leader (307).
    """
    answers = {i.put(0, base, body=body) for i in fleet.instances} - {307}
    assert len(answers) == 1
    return answers.pop()


def replace_text(version, old, new):
    text = fleet_module.configuration(version).decode()
    assert old in text
    return text.replace(old, new, 1).encode()


# Guards against an operator who sends an invalid configuration for ever.
@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('"weight": 90', '"weight": NaN'),
        ('"weight": 90', '"weight": Infinity'),
        ('"weight": 90', f'"weight": {"9" * 400}'),
        ('2, "s1"', 'Infinity, "s1"'),
        ('2, "s1"', '1e999, "s1"'),
        ('2, "s1"', '"2", "s1"'),
        ('"h1"', "[" * 5000 + "]" * 5000),
        ('{"version"', "[" * 100_000 + '{"version"'),
        ('"h.example"', '"\\ud800"'),
        ('"version": ', '"version": 9, "version": '),
    ],
    ids=test_invalid_configurations.shorten,
)
def test_invalid_configuration_is_answered_as_such(fleet, old, new):
    base = get_version(fleet)
    body = replace_text(base + 1, old, new)
    assert put_everywhere(fleet, base, body) in CLIENT_ERRORS
    assert get_version(fleet) == base
    assert all(i.process.poll() is None for i in fleet.instances)


@pytest.mark.parametrize(
    "base",
    ["", "x", "-1", "1.0", "9" * 400, "\u00b2"],
    ids=test_invalid_configurations.shorten,
)
def test_base_that_is_no_version_is_a_conflict(fleet, base):
    body = fleet_module.configuration(get_version(fleet) + 1)
    header = base.encode().decode("latin-1")
    assert put_everywhere(fleet, header, body) == 412


# Guards against log lines and answers of megabytes.
def test_answer_shows_a_part_of_a_long_name(fleet):
    base = get_version(fleet)
    name = "x" * 1_000_000
    body = replace_text(base + 1, '"s1"', f'"{name}"')
    assert put_everywhere(fleet, base, body) == 400
    for instance in fleet.instances:
        _, answer = instance.call(
            "PUT", "/cranberrymux/config", body, {"If-Match": str(base)}
        )
        assert len(answer) < 1000
        lines = instance.log.read_text().splitlines()
        assert max(map(len, lines)) < 10_000


def test_valid_configuration_is_accepted_after_all_these(fleet):
    base = get_version(fleet)
    fleet.put_until_accepted(base + 1, base)
    assert get_version(fleet) == base + 1


# Guards against a version after which no If-Match is understood.
def test_change_on_a_version_of_many_digits_is_accepted(fleet):
    base = get_version(fleet)
    nanoseconds = 1_700_000_000_000_000_000
    fleet.put_until_accepted(nanoseconds, base)
    fleet.put_until_accepted(nanoseconds + 1, nanoseconds)
    assert get_version(fleet) == nanoseconds + 1
