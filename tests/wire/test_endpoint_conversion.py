"""Endpoint records as thrift messages.

Guards against a field of a record that is lost or changed between processes,
and against bytes or states that cannot be decoded but are taken for a record.
"""

import pytest

from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state
from cranberrymux.wire import codec
from cranberrymux.wire import endpoint_conversion
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


def test_decoded_record_equals_the_encoded_one():
    data = codec.encode(endpoint_conversion.encode_endpoint(RECORD))
    assert (
        endpoint_conversion.decode_endpoint(codec.decode(ttypes.Endpoint, data))
        == RECORD
    )


def test_decoding_an_unknown_state_raises_value_error():
    message = endpoint_conversion.encode_endpoint(RECORD)
    message.state = 9
    with pytest.raises(ValueError, match="9"):
        endpoint_conversion.decode_endpoint(message)


# Guards against nodes that connect to a port that does not exist, or divide by
# the slots of an endpoint that has none.
@pytest.mark.parametrize(
    ("field", "value"),
    [("port", 0), ("port", 70_000), ("port", -1), ("slots", 0), ("slots", -5)],
)
def test_decoding_a_number_out_of_range_raises_value_error(field, value):
    message = endpoint_conversion.encode_endpoint(RECORD)
    setattr(message, field, value)
    with pytest.raises(ValueError, match=field):
        endpoint_conversion.decode_endpoint(message)


@pytest.mark.parametrize(
    "data", [b"", b"junk", b"\x0b\x00\x01\x7f\xff\xff\xff" + b"x" * 10]
)
def test_decoding_invalid_bytes_raises(data):
    with pytest.raises(Exception):  # noqa: B017 - thrift raises many types.
        codec.decode(ttypes.Endpoint, data)


@pytest.mark.parametrize("field", ["port", "labels", "service_name"])
def test_decoding_a_record_without_a_required_field_raises(field):
    """Guards against a partial record that names an endpoint to use."""
    message = endpoint_conversion.encode_endpoint(RECORD)
    setattr(message, field, None)
    with pytest.raises(ValueError, match=field):
        endpoint_conversion.decode_endpoint(message)
