"""Converters of command line options, for the `type=` of argparse."""

import argparse
import math


def read_number(text: str) -> float:
    """Converts an option to a finite number.

    Raises:
        ArgumentTypeError: The text is not such a number.
    """
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise argparse.ArgumentTypeError(f"expected a number, not {text!r}")
    return value


def read_positive_number(text: str) -> float:
    """Converts an option to a finite number above 0.

    Raises:
        ArgumentTypeError: The text is not such a number.
    """
    value = read_number(text)
    if value <= 0:
        raise argparse.ArgumentTypeError(
            f"expected a number above 0, not {text!r}"
        )
    return value


def read_count(text: str) -> int:
    """Converts an option to a whole number of at least 1.

    Raises:
        ArgumentTypeError: The text is not such a number.
    """
    value = read_whole_number(text)
    if value < 1:
        raise argparse.ArgumentTypeError(
            f"expected a whole number of at least 1, not {text!r}"
        )
    return value


def read_whole_number(text: str) -> int:
    """Converts an option to a whole number of at least 0.

    Raises:
        ArgumentTypeError: The text is not such a number.
    """
    if not text.isascii() or not text.isdigit():
        raise argparse.ArgumentTypeError(
            f"expected a whole number of at least 0, not {text!r}"
        )
    return int(text)
