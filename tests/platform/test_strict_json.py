"""JSON is decoded as by the library, and nothing else is.

Guards against texts that are taken though they are no JSON, and against
exceptions other than `ValueError`.
"""

import json
import math

import hypothesis
from hypothesis import strategies
import pytest

from cranberrymux.models import strict_json
from tests import profiles
from tests.platform import test_json_steps


@profiles.DETERMINISTIC
@hypothesis.given(test_json_steps.VALUES)
def test_valid_text_is_decoded_as_by_the_library(value):
    assert strict_json.load(json.dumps(value).encode()) == value


@profiles.DETERMINISTIC
@hypothesis.given(strategies.text('[]{}:,"\\aN1e-.Inu \n\t', max_size=12))
def test_any_other_text_is_a_value_error(text):
    try:
        expected = json.loads(text, parse_constant=lambda _: 1 / 0)
    except (ValueError, ZeroDivisionError):
        with pytest.raises(ValueError, match="char"):
            strict_json.load(text)
    else:
        try:
            assert strict_json.load(text) == expected
        except ValueError as error:
            assert "one name" in str(error)


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b"\xef\xbb\xbf1", b"NaN", b"[-Infinity]", b"1 2"]
)
def test_bytes_that_are_no_json_are_a_value_error(body):
    with pytest.raises(ValueError):  # noqa: PT011
        strict_json.load(body)


@pytest.mark.parametrize("levels", [200, 201, 900, 5000, 1_000_000])
@pytest.mark.parametrize("pair", ["[]", "{}"])
def test_levels_are_bounded(levels, pair):
    opened = "[" if pair == "[]" else '{"a":'
    text = opened * (levels - 1) + pair + pair[1] * (levels - 1)
    if levels <= strict_json.MAXIMUM_LEVELS:
        assert strict_json.load(text)
        return
    with pytest.raises(ValueError, match="levels"):
        strict_json.load(text)


def test_a_number_too_large_for_a_float_is_infinite():
    """Such a number is JSON; whoever reads it checks its range."""
    assert strict_json.load("[1e999]") == [math.inf]
