"""Numbers on the command line.

Guards against options out of range, infinite or not numbers at all that reach a
command, and against usage errors that do not say which value was expected.
"""

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
def test_text_in_range_is_converted(read, text, value):
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
def test_text_out_of_range_is_refused_with_the_expected_range(
    read, text, expected
):
    with pytest.raises(argparse.ArgumentTypeError) as caught:
        read(text)
    assert str(caught.value) == f"expected {expected}, not {text!r}"
