"""Runs random trees of calls through budget ledgers, in random order."""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
import random
from typing import NamedTuple

from cranberrymux.decisions.retries import budget_ledger

LedgerFactory = Callable[[int], budget_ledger.BudgetLedger]

_LATE_STEPS = 20


class TreeNode(NamedTuple):
    """A call and the calls that its backend server makes.

    Attributes:
        children: The child calls.
        parallel: True if they are made at once, False for one by one.
    """

    children: tuple["TreeNode", ...] = ()
    parallel: bool = False


def grow_tree(generator: random.Random, depth: int) -> TreeNode:
    """Makes a random tree of at most so many calls below one another."""
    count = generator.randint(1, 4) if depth else 0
    children = tuple(
        grow_tree(generator, generator.randint(0, depth - 1))
        for _ in range(count)
    )
    return TreeNode(children, generator.random() < 0.5)


class Faults(NamedTuple):
    """Chances, for each attempt, of what goes wrong.

    Attributes:
        not_run: It is refused, proven not run.
        lost: It runs and its answer is lost.
        late: A lost answer comes after all.
        doubled: An answer's unspent share is told twice.
        lying: An answer tells more unspent than it was given.
        hurried: A backend server answers without waiting for calls that it
            made at once.
    """

    not_run: float = 0.0
    lost: float = 0.0
    late: float = 0.0
    doubled: float = 0.0
    lying: float = 0.0
    hurried: float = 0.0


class Tally(NamedTuple):
    """What one request came to.

    Attributes:
        succeeded: True if the whole request did.
        needed: First attempts.
        retries: Further attempts.
    """

    succeeded: bool
    needed: int
    retries: int


class TreeRun:
    """One request through a tree; its steps interleave by chance."""

    def __init__(
        self,
        generator: random.Random,
        faults: Faults,
        make_ledger: LedgerFactory = budget_ledger.BudgetLedger,
        maximum_attempts: int = 3,
    ) -> None:
        """Prepares a run.

        Args:
            generator: Source of chance.
            faults: What goes wrong.
            make_ledger: Makes the ledger of each run of a backend server.
            maximum_attempts: Attempts of one call.
        """
        self._generator = generator
        self._faults = faults
        self._make_ledger = make_ledger
        self._maximum_attempts = maximum_attempts
        self._tasks: list[Iterator[None]] = []
        self._needed = 0
        self._retries = 0

    def run(self, tree: TreeNode, budget: int) -> Tally:
        """Runs the request to its end, with what is late after it."""
        results: list[bool] = []
        self._tasks.append(self._root(tree, budget, results))
        while self._tasks:
            index = self._generator.randrange(len(self._tasks))
            try:
                next(self._tasks[index])
            except StopIteration:
                del self._tasks[index]
        return Tally(results[0], self._needed, self._retries)

    def _root(
        self, tree: TreeNode, budget: int, results: list[bool]
    ) -> Iterator[None]:
        succeeded, _ = yield from self._run_backend(tree, "1", budget)
        results.append(succeeded)

    def _run_backend(
        self, node: TreeNode, call_id: str, budget: int
    ) -> Generator[None, None, tuple[bool, int]]:
        ledger = self._make_ledger(budget)
        results: list[bool] = []
        for number, child in enumerate(node.children, 1):
            task = self._call(ledger, child, f"{call_id}.{number}", results)
            if node.parallel:
                self._tasks.append(task)
                continue
            yield from task
            if not results[-1]:
                return False, ledger.close()
        if node.parallel and self._generator.random() < self._faults.hurried:
            return True, ledger.close()
        while all(results) and len(results) < len(node.children):
            yield
        # Answers at the first failure, also while other children run.
        return all(results), ledger.close()

    def _call(
        self,
        ledger: budget_ledger.BudgetLedger,
        node: TreeNode,
        call_id: str,
        results: list[bool],
    ) -> Iterator[None]:
        self._needed += 1
        for attempt in range(1, self._maximum_attempts + 1):
            share = ledger.allot(0.0, call_id, attempt)
            yield
            ended = yield from self._attempt(node, call_id, share)
            if ended is None:
                self._lose(ledger, call_id, attempt, share)
            else:
                self._answer(ledger, call_id, attempt, ended)
                if ended.ran:
                    results.append(ended.succeeded)
                    return
            if attempt == self._maximum_attempts or not ledger.spend():
                break
            self._retries += 1
        results.append(False)

    def _attempt(
        self, node: TreeNode, call_id: str, share: int
    ) -> Generator[None, None, "_Ended | None"]:
        chance = self._generator.random()
        faults = self._faults
        if chance < faults.not_run:
            return _Ended(ran=False, succeeded=False, unspent=share)
        succeeded, unspent = yield from self._run_backend(node, call_id, share)
        if chance < faults.not_run + faults.lost:
            return None
        return _Ended(ran=True, succeeded=succeeded, unspent=unspent)

    def _answer(
        self,
        ledger: budget_ledger.BudgetLedger,
        call_id: str,
        attempt: int,
        ended: "_Ended",
    ) -> None:
        unspent = ended.unspent
        if self._generator.random() < self._faults.lying:
            unspent += 5
        ledger.give_back(call_id, unspent, attempt)
        if self._generator.random() < self._faults.doubled:
            ledger.give_back(call_id, unspent, attempt)

    def _lose(
        self,
        ledger: budget_ledger.BudgetLedger,
        call_id: str,
        attempt: int,
        share: int,
    ) -> None:
        if self._generator.random() < self._faults.late:
            unspent = self._generator.randint(0, share)
            self._tasks.append(
                _give_back_late(ledger, call_id, attempt, unspent)
            )


class _Ended(NamedTuple):
    ran: bool
    succeeded: bool
    unspent: int


def _give_back_late(
    ledger: budget_ledger.BudgetLedger,
    call_id: str,
    attempt: int,
    unspent: int,
) -> Iterator[None]:
    for _ in range(_LATE_STEPS):
        yield
    ledger.give_back(call_id, unspent, attempt)
