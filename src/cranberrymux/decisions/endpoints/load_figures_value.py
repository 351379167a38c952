"""Parses the load figures that a backend server names in an answer."""

from collections.abc import Sequence
from typing import NamedTuple

from cranberrymux.models import load_figures
from cranberrymux.models import whole_number

MAXIMUM_SLOTS = 1_000_000
_FIELD_COUNTS = (3, 4)  # Backend servers need not say how slow they are.
_SHOWN_BYTES = 40  # Part of an invalid value that its error shows.


class LoadFiguresError(NamedTuple):
    """Result for header values that are not load figures.

    Attributes:
        detail: Human-readable cause, one line.
    """

    detail: str


def parse(
    values: Sequence[bytes],
) -> load_figures.LoadFigures | LoadFiguresError | None:
    """Parses the values of all load headers of one answer.

    Args:
        values: Values in the order of the headers: running requests, waiting
            requests, slots and, in some, the present time of work in percent
            of the usual, separated by commas.

    Returns:
        The figures; None without a header.
    """
    if not values:
        return None
    if len(values) > 1:
        return LoadFiguresError(f"{len(values)} headers")
    numbers = [
        whole_number.decode(field.strip(b" \t"))
        for field in values[0].split(b",", max(_FIELD_COUNTS))
    ]
    figures = _make_figures(numbers)
    if isinstance(figures, str):
        return LoadFiguresError(f"{figures}: {values[0][:_SHOWN_BYTES]!r}")
    return figures


def _make_figures(
    numbers: Sequence[int | None],
) -> load_figures.LoadFigures | str:
    """Returns the figures, or what is wrong with the numbers."""
    if len(numbers) not in _FIELD_COUNTS:
        return "not three or four numbers"
    running, waiting, slots = numbers[:3]
    if running is None or waiting is None or slots is None:
        return "not whole numbers"
    if not 0 < slots <= MAXIMUM_SLOTS:
        return "slots out of range"
    if len(numbers) == min(_FIELD_COUNTS):
        return load_figures.LoadFigures(running, waiting, slots)
    percent = numbers[3]
    if not percent:
        return "slowness not a percentage above 0"
    return load_figures.LoadFigures(running, waiting, slots, percent / 100)
