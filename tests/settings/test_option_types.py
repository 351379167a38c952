"""Options are refused in words that say what was expected."""

import argparse

import pytest

from cranberrymux.settings import option_types


@pytest.mark.parametrize(
    ("read", "text", "value"),
    [
        (option_types.read_number, "-2.5", -2.5),
        (option_types.read_positive_number, "0.5", 0.5),
        (option_types.read_count, "1", 1),
        (option_types.read_whole_number, "0", 0),
    ],
)
def test_takes_what_is_in_range(read, text, value):
    assert read(text) == value


@pytest.mark.parametrize(
    ("read", "text", "expected"),
    [
        (option_types.read_number, "x", "a number"),
        (option_types.read_number, "nan", "a number"),
        (option_types.read_positive_number, "0", "a number above 0"),
        (option_types.read_positive_number, "inf", "a number"),
        (option_types.read_count, "0", "a whole number of at least 1"),
        (option_types.read_whole_number, "-1", "a whole number of at least 0"),
        (option_types.read_whole_number, "1.5", "a whole number of at least 0"),
    ],
)
def test_says_what_was_expected(read, text, expected):
    with pytest.raises(argparse.ArgumentTypeError) as caught:
        read(text)
    assert str(caught.value) == f"expected {expected}, not {text!r}"
