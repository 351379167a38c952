"""Records survive the wire; what is not a record is refused."""

import pytest

from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.wire import codec
from cranberrymux.wire import convert
from cranberrymux.wire.gen.messages import ttypes

RECORD = endpoint_record.EndpointRecord(
    "notes",
    "n1",
    1_700_000_000_000,
    3,
    "127.0.0.1",
    80,
    "r",
    "z",
    {"store": "ä"},
    13,
    endpoint_state.EndpointState.DRAINING,
)


def test_a_record_survives_the_wire():
    data = codec.encode(convert.encode_endpoint(RECORD))
    assert (
        convert.decode_endpoint(codec.decode(ttypes.Endpoint, data)) == RECORD
    )


def test_an_unknown_state_is_refused():
    message = convert.encode_endpoint(RECORD)
    message.state = 9
    with pytest.raises(ValueError, match="9"):
        convert.decode_endpoint(message)


@pytest.mark.parametrize(
    "data", [b"", b"junk", b"\x0b\x00\x01\x7f\xff\xff\xff" + b"x" * 10]
)
def test_junk_is_no_message(data):
    with pytest.raises(Exception):  # noqa: B017 - the codec has many types.
        codec.decode(ttypes.Endpoint, data)
