"""Guards against malformed context headers that raise or are accepted.

Headers come from outside: any bytes, fields out of range, and principals with
control characters that would inject a header line when they are passed on.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.decisions.contexts import context_error
from cranberrymux.decisions.contexts import context_fault
from cranberrymux.decisions.contexts import header_codec
from cranberrymux.models import request_context
from tests import profiles

Fault = context_fault.ContextFault
IDS = strategies.from_regex(r"[A-Za-z0-9-]{1,64}", fullmatch=True)
CALL_IDS = strategies.from_regex(
    r"[0-9]{1,3}(\.[0-9]{1,3}){0,6}", fullmatch=True
)
PRINCIPALS = strategies.text(
    strategies.characters(exclude_categories=("Cs", "Cc")), max_size=60
)
CONTEXTS = strategies.builds(
    request_context.RequestContext,
    IDS,
    CALL_IDS,
    PRINCIPALS,
    strategies.integers(0, 99_999_999),
    strategies.integers(0, 99),
    strategies.integers(0, 127),
    strategies.integers(0, 999),
    strategies.integers(1, 999),
    strategies.booleans(),
    strategies.booleans(),
)
VALID = b"1;0190-a;1.2;ann%20b;1500;2;127;3;1;oi"


@profiles.DETERMINISTIC
@hypothesis.given(CONTEXTS)
def test_valid_context_survives_encode_and_decode(context):
    value = header_codec.encode(context)
    assert header_codec.decode(value) == context
    assert header_codec.check(context) is None


def test_documented_form_decodes_to_its_fields():
    assert header_codec.decode(VALID) == request_context.RequestContext(
        "0190-a", "1.2", "ann b", 1500, 2, 127, 3, 1, True, True
    )


@pytest.mark.parametrize(
    ("value", "fault"),
    [
        (b"", Fault.FIELD_COUNT),
        (VALID + b";", Fault.FIELD_COUNT),
        (b"x" * 1201, Fault.TOO_LONG),
        (b"2;a;1;p;1;0;0;0;1;", Fault.VERSION),
        (b"1;;1;p;1;0;0;0;1;", Fault.REQUEST_ID),
        (b"1;" + b"a" * 65 + b";1;p;1;0;0;0;1;", Fault.REQUEST_ID),
        (b"1;a_b;1;p;1;0;0;0;1;", Fault.REQUEST_ID),
        (b"1;a;" + b"1" * 129 + b";p;1;0;0;0;1;", Fault.CALL_ID),
        (b"1;a;1;" + b"p" * 257 + b";1;0;0;0;1;", Fault.PRINCIPAL),
        (b"1;a;1;p q;1;0;0;0;1;", Fault.PRINCIPAL),
        (b"1;a;1;%ff;1;0;0;0;1;", Fault.PRINCIPAL),
        (b"1;a;1;%0d%0a;1;0;0;0;1;", Fault.PRINCIPAL),
        (b"1;a;1;%4;1;0;0;0;1;", Fault.PRINCIPAL),
        (b"1;a;1;p;-1;0;0;0;1;", Fault.TIMEOUT),
        (b"1;a;1;p;01;0;0;0;1;", Fault.TIMEOUT),
        (b"1;a;1;p;100000000;0;0;0;1;", Fault.TIMEOUT),
        (b"1;a;1;p;" + "١".encode() + b";0;0;0;1;", Fault.TIMEOUT),
        (b"1;a;1;p;1;100;0;0;1;", Fault.CLASS_RANK),
        (b"1;a;1;p;1;0;128;0;1;", Fault.SHED_HASH),
        (b"1;a;1;p;1;0;0;1000;1;", Fault.RETRY_BUDGET),
        (b"1;a;1;p;1;0;0;0;0;", Fault.ATTEMPT),
        (b"1;a;1;p;1;0;0;0;1;io", Fault.FLAGS),
        (b"1;a;1;p;1;0;0;0;1;\n", Fault.FLAGS),
    ],
)
def test_invalid_header_is_rejected_with_its_reason(value, fault):
    decoded = header_codec.decode(value)
    assert isinstance(decoded, context_error.ContextError)
    assert decoded.reason is fault


@profiles.DETERMINISTIC
@hypothesis.given(strategies.binary(max_size=300))
def test_arbitrary_bytes_decode_to_an_error(value):
    assert isinstance(header_codec.decode(value), context_error.ContextError)


@profiles.DETERMINISTIC
@hypothesis.given(
    strategies.integers(0, len(VALID)),
    strategies.binary(max_size=3),
    strategies.integers(0, 3),
)
def test_damaged_header_is_rejected_or_valid(index, inserted, removed):
    damaged = VALID[:index] + inserted + VALID[index + removed :]
    decoded = header_codec.decode(damaged)
    if isinstance(decoded, request_context.RequestContext):
        assert header_codec.check(decoded) is None


@pytest.mark.parametrize(
    ("field", "value", "fault"),
    [
        ("principal", "\ud800", Fault.PRINCIPAL),
        ("principal", "a\nb", Fault.PRINCIPAL),
        ("request_id", "a;b", Fault.FIELD_COUNT),
        ("request_id", "é", Fault.REQUEST_ID),
        ("timeout_ms", -1, Fault.TIMEOUT),
        ("attempt", 0, Fault.ATTEMPT),
    ],
)
def test_check_rejects_invalid_values_of_a_client(field, value, fault):
    context = header_codec.decode(VALID)._replace(**{field: value})
    assert header_codec.check(context).reason is fault
