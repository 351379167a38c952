"""Simulates retries in random call trees that share a retry budget.

The child calls of a tree run interleaved in random order, with faults, and
each backend server has a budget ledger.
"""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
import random
from typing import NamedTuple

from cranberrymux.decisions.retries import budget_ledger

LedgerFactory = Callable[[int], budget_ledger.BudgetLedger]

_LATE_ANSWER_STEPS = 20


class TreeNode(NamedTuple):
    """A call and the child calls that its backend server makes.

    Attributes:
        children: The child calls in the order in which they are made.
        parallel: True if all are made at once, False if each is made after
            the one before has succeeded.
    """

    children: tuple["TreeNode", ...] = ()
    parallel: bool = False


def make_random_tree(generator: random.Random, depth: int) -> TreeNode:
    """Returns a random call tree.

    Args:
        generator: Source of randomness.
        depth: Maximum number of levels below the root, 0 or more.
    """
    count = generator.randint(1, 4) if depth else 0
    children = tuple(
        make_random_tree(generator, generator.randint(0, depth - 1))
        for _ in range(count)
    )
    return TreeNode(children, generator.random() < 0.5)


class FaultProbabilities(NamedTuple):
    """Probabilities of faults, each 0 to 1.

    Attributes:
        not_run: An attempt is refused and proven not run.
        lost: An attempt runs and its answer is lost.
        late: The unspent share of a lost answer arrives after all, later.
        duplicated: The unspent share of an answer arrives twice.
        overstated: An answer reports a higher unspent share than the true one.
        early_answer: A backend server answers without waiting for its parallel
            child calls.
    """

    not_run: float = 0.0
    lost: float = 0.0
    late: float = 0.0
    duplicated: float = 0.0
    overstated: float = 0.0
    early_answer: float = 0.0


class RequestResult(NamedTuple):
    """Result and number of attempts of one request.

    Attributes:
        succeeded: True if the root call and all its child calls succeeded.
        first_attempts: Number of first attempts.
        retries: Number of further attempts.
    """

    succeeded: bool
    first_attempts: int
    retries: int


class TreeRun:
    """Runs one request through a call tree, with steps in random order."""

    def __init__(
        self,
        generator: random.Random,
        faults: FaultProbabilities,
        make_ledger: LedgerFactory = budget_ledger.BudgetLedger,
        maximum_attempts: int = 3,
    ) -> None:
        """Prepares a run.

        Args:
            generator: Source of randomness.
            faults: Probabilities of faults.
            make_ledger: Creates the ledger of one call at its backend server
                from the retry budget granted to the call.
            maximum_attempts: Maximum number of attempts of one call, 1 or
                more.
        """
        self._generator = generator
        self._faults = faults
        self._make_ledger = make_ledger
        self._maximum_attempts = maximum_attempts
        self._tasks: list[Iterator[None]] = []
        self._first_attempts = 0
        self._retries = 0

    def run(self, tree: TreeNode, budget: int) -> RequestResult:
        """Runs the request and all late answers to their end.

        Args:
            tree: The root call.
            budget: Retry budget of the request.

        Returns:
            The result of the request; retries after its answer count, too.
        """
        results: list[bool] = []
        self._tasks.append(self._run_root(tree, budget, results))
        while self._tasks:
            chosen = self._generator.randrange(len(self._tasks))
            try:
                next(self._tasks[chosen])
            except StopIteration:
                del self._tasks[chosen]
        return RequestResult(results[0], self._first_attempts, self._retries)

    def _run_root(
        self, tree: TreeNode, budget: int, results: list[bool]
    ) -> Iterator[None]:
        succeeded, _ = yield from self._run_backend(tree, "1", budget)
        results.append(succeeded)

    def _run_backend(
        self, node: TreeNode, call_id: str, budget: int
    ) -> Generator[None, None, tuple[bool, int]]:
        ledger = self._make_ledger(budget)
        results: list[bool] = []
        for child_number, child in enumerate(node.children, 1):
            task = self._run_call(
                ledger, child, f"{call_id}.{child_number}", results
            )
            if node.parallel:
                self._tasks.append(task)
                continue
            yield from task
            if not results[-1]:
                return False, ledger.close()
        if (
            node.parallel
            and self._generator.random() < self._faults.early_answer
        ):
            return True, ledger.close()
        while all(results) and len(results) < len(node.children):
            yield
        # The first failure ends the call, even while other child calls run.
        return all(results), ledger.close()

    def _run_call(
        self,
        ledger: budget_ledger.BudgetLedger,
        node: TreeNode,
        call_id: str,
        results: list[bool],
    ) -> Iterator[None]:
        self._first_attempts += 1
        for attempt in range(1, self._maximum_attempts + 1):
            share = ledger.allot(0.0, call_id, attempt)
            yield
            result = yield from self._run_attempt(node, call_id, share)
            if result is None:
                self._lose_answer(ledger, call_id, attempt, share)
            else:
                self._receive_answer(ledger, call_id, attempt, result)
                if result.ran:
                    results.append(result.succeeded)
                    return
            if attempt == self._maximum_attempts or not ledger.spend():
                break
            self._retries += 1
        results.append(False)

    def _run_attempt(
        self, node: TreeNode, call_id: str, share: int
    ) -> Generator[None, None, "_AttemptResult | None"]:
        draw = self._generator.random()
        faults = self._faults
        if draw < faults.not_run:
            return _AttemptResult(ran=False, succeeded=False, unspent=share)
        succeeded, unspent = yield from self._run_backend(node, call_id, share)
        if draw < faults.not_run + faults.lost:
            return None
        return _AttemptResult(ran=True, succeeded=succeeded, unspent=unspent)

    def _receive_answer(
        self,
        ledger: budget_ledger.BudgetLedger,
        call_id: str,
        attempt: int,
        result: "_AttemptResult",
    ) -> None:
        unspent = result.unspent
        if self._generator.random() < self._faults.overstated:
            unspent += 5
        ledger.give_back(call_id, unspent, attempt)
        if self._generator.random() < self._faults.duplicated:
            ledger.give_back(call_id, unspent, attempt)

    def _lose_answer(
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


class _AttemptResult(NamedTuple):
    ran: bool
    succeeded: bool
    unspent: int


def _give_back_late(
    ledger: budget_ledger.BudgetLedger,
    call_id: str,
    attempt: int,
    unspent: int,
) -> Iterator[None]:
    for _ in range(_LATE_ANSWER_STEPS):
        yield
    ledger.give_back(call_id, unspent, attempt)
