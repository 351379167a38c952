"""Load figures in the answers of backend servers.

Guards against figures that are read wrong, and against invalid ones that change
anything or that raise an exception in the path of an answer.
"""

import random

import pytest

from cranberrymux.decisions.endpoints import load_figures_value
from cranberrymux.models import load_figures


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,1,44", load_figures.LoadFigures(3, 1, 44)),
        (b" 3, 1 ,\t44 ", load_figures.LoadFigures(3, 1, 44)),
        (b"3,1,44,100", load_figures.LoadFigures(3, 1, 44, 1.0)),
        (b"0,0,1,250", load_figures.LoadFigures(0, 0, 1, 2.5)),
    ],
)
def test_three_or_four_numbers_are_figures(value, expected):
    assert load_figures_value.parse([value]) == expected


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b",,",
        b"44",
        b"1,2",
        b"1,2,3,4,5",
        b"-1,0,44",
        b"1.5,0,44",
        b"0,0,0",
        b"0,0,9999999999",
        b"0,0,44,0",
        b"0,0,44,",
        b"0,0,44,fast",
        b"9" * 5000 + b",0,44",
        b"," * 100_000,
        "1,1,\u0664".encode(),
    ],
)
def test_other_values_are_errors_with_a_short_cause(value):
    result = load_figures_value.parse([value])
    assert isinstance(result, load_figures_value.LoadFiguresError)
    assert 0 < len(result.detail) < 250


def test_several_headers_are_an_error_and_none_is_none():
    result = load_figures_value.parse([b"0,0,1", b"0,0,2"])
    assert isinstance(result, load_figures_value.LoadFiguresError)
    assert load_figures_value.parse([]) is None


def test_random_bytes_never_raise():
    generator = random.Random(1)
    for _ in range(3000):
        size = generator.randrange(30)
        value = bytes(
            generator.choice(b"0123,, \t-.x\xff") for _ in range(size)
        )
        result = load_figures_value.parse([value])
        if isinstance(result, load_figures.LoadFigures):
            assert result.slots >= 1
