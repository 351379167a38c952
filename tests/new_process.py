"""A process that runs no other test, to measure processor time in."""

from collections.abc import Callable
from concurrent import futures
import gc
import multiprocessing
from typing import Any


def run(measure: Callable[..., Any], *arguments: Any) -> Any:
    """Runs `measure` in a new process, as any program of ours begins.

    The process of the tests holds the objects of those that ran before, and
    the places they left free: what is allocated there lies scattered, and
    takes several times as long to collect or to free.

    Args:
        measure: A public function of a module.
        *arguments: What it is called with; picklable, like its result.

    Raises:
        Exception: What `measure` raises.
    """
    context = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(1, mp_context=context) as executor:
        return executor.submit(_run, measure, arguments).result()


def _run(measure: Callable[..., Any], arguments: tuple[Any, ...]) -> Any:
    """Exempts the modules from collections: a program has fewer of them."""
    gc.collect()
    gc.freeze()
    return measure(*arguments)
