"""Long computations in steps, between which the reactor serves others."""

from collections.abc import Generator
from typing import Any
from typing import TypeVar

from twisted.internet import task

T = TypeVar("T")


async def run(reactor: Any, steps: Generator[None, None, T]) -> T:
    """Returns what a generator returns.

    One without a `yield` is finished at once. After each `yield` the reactor
    handles its other events.

    Args:
        reactor: Runs the steps after the first.
        steps: The computation.
    """
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: T = end.value
            return result
        await task.deferLater(reactor, 0)
