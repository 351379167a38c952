"""Bodies of other processes and operators that no program of ours sends.

Guards against an exception that ends a connection or is answered as a failure:
each decoder returns its error for whatever it cannot read.
"""

import json

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.control import change_body
from cranberrymux.models import socket_address
from cranberrymux.node import announce_site
from cranberrymux.node import vouch_message
from cranberrymux.platform import announcement_format
from cranberrymux.platform import configuration_format
from tests import profiles
from tests.platform import test_invalid_configurations

DIGITS = "9" * 400
DECODERS = [
    change_body.parse,
    announce_site.parse_announcement,
    vouch_message.decode_vouch,
    configuration_format.decode,
    lambda body: announcement_format.decode("i-1", body),
]
VOUCH = {"verdict": "handed-over", "incarnation": 5, "covered_s": 1.0}
CHANGE = {"change_id": "a", "author": "b", "document": "classes: [{name: d}]"}
BACKEND = {"service": "s", "port": 80, "slots": 4}
BODIES = [
    *("", "NaN", "[]", "{}", "null", "7", '"x"', "{", DIGITS, "9" * 5000),
    *("[" * 4000, '{"a":' * 4000, "[" * 4000 + "]" * 4000, '"\\ud800"'),
]
FIELDS = sorted({*VOUCH, *CHANGE, *BACKEND, "base_version", "labels", "calls"})


@pytest.mark.parametrize(
    "body", BODIES, ids=test_invalid_configurations.shorten
)
@pytest.mark.parametrize("decode", DECODERS)
def test_odd_body_raises_nothing(decode, body):
    decode(body.encode())
    decode(body.encode() + b"\xff")


@profiles.DETERMINISTIC
@hypothesis.given(
    strategies.sampled_from([VOUCH, CHANGE, BACKEND]),
    strategies.sampled_from(FIELDS),
    test_invalid_configurations.JSON_VALUES,
)
def test_odd_field_raises_nothing(values, field, value):
    body = json.dumps({**values, field: value}).encode()
    for decode in DECODERS:
        decode(body)


# Guards against a vouch that a node counts with, or texts it cannot pass on.
@pytest.mark.parametrize(
    ("decode", "values", "field", "value"),
    [
        (vouch_message.decode_vouch, VOUCH, "covered_s", "1"),
        (vouch_message.decode_vouch, VOUCH, "covered_s", int(DIGITS)),
        (vouch_message.decode_vouch, VOUCH, "incarnation", 1.5),
        (vouch_message.decode_vouch, VOUCH, "incarnation", int(DIGITS)),
        (vouch_message.decode_vouch, VOUCH, "verdict", []),
        (change_body.parse, CHANGE, "base_version", int(DIGITS)),
        (change_body.parse, CHANGE, "rollback_of", 1 << 63),
        (change_body.parse, CHANGE, "change_id", "\ud800"),
        (change_body.parse, CHANGE, "author", "\ud800"),
        (change_body.parse, CHANGE, "document", "\ud800"),
        (announce_site.parse_announcement, BACKEND, "service", "\ud800"),
        (announce_site.parse_announcement, BACKEND, "labels", {"\ud800": ""}),
        (announce_site.parse_announcement, BACKEND, "calls", ["\ud800"]),
        (announce_site.parse_announcement, BACKEND, "load_path", "/\r\nx: y"),
        (announce_site.parse_announcement, BACKEND, "address", "\ud800"),
    ],
    ids=test_invalid_configurations.shorten,
)
def test_odd_value_is_an_error(decode, values, field, value):
    valid = decode(json.dumps(values).encode())
    decoded = decode(json.dumps({**values, field: value}).encode())
    assert type(valid) is not type(decoded)


def test_port_of_many_digits_is_no_address():
    assert socket_address.parse("10.0.0.1:" + "9" * 5000) is None
    assert socket_address.parse("10.0.0.1:" + "0" * 5000 + "80") is None
