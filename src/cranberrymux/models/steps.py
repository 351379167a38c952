"""Computations in steps, as generators that yield between two of them."""

from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")


def finish(steps: Generator[None, None, T]) -> T:
    """Takes all steps of a computation at once; returns its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result
