"""Values of the header that names a rate limit.

Guards against a hostile or broken value that is taken for a limit.
"""

import pytest

from cranberrymux.decisions.rate_limits import rate_limit_value


@pytest.mark.parametrize(
    ("value", "per_s"),
    [
        (b"6.3", 6.3),
        (b"7", 7.0),
        (b"0.001", 0.001),
        (b"999999999", 999999999.0),
    ],
)
def test_decimal_number_is_the_limit(value, per_s):
    assert rate_limit_value.parse([value]) == per_s


def test_answer_without_the_header_names_no_limit():
    assert rate_limit_value.parse([]) is None


@pytest.mark.parametrize(
    "values",
    [
        [b""],
        [b"-6.3"],
        [b"+6.3"],
        [b"0"],
        [b"0.000"],
        [b"NaN"],
        [b"inf"],
        [b"1e400"],
        [b"6e1"],
        [b"6,3"],
        [b"6.3, 6.3"],
        [b"6.3\n"],
        [b"0x10"],
        [b"1_000"],
        ["٦".encode()],
        [b"9" * 5000],
        [b"6." + b"3" * 5000],
        [b"6.3", b"6.3"],
    ],
)
def test_any_other_value_is_an_error_with_a_short_reason(values):
    error = rate_limit_value.parse(values)
    assert isinstance(error, rate_limit_value.RateLimitError)
    assert 0 < len(error.detail) < 200
