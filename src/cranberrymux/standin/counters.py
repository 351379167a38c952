"""What a stand-in counts."""

import collections
from typing import TypedDict

RUNS_KEPT = 200_000


class CountersView(TypedDict):
    """The body of `GET /counters`.

    Attributes:
        running: Calls that hold a slot or wait for one, now.
        started: Calls accepted.
        done: Calls answered with 200.
        failed: Calls answered with 502 because a child call gave no answer.
        refused: Calls answered with 503.
        cancelled: Calls whose caller hung up.
        runs: Runs begun by request id.
        runs_by_call: Runs begun by call id, of calls that carry a context.
    """

    running: int
    started: int
    done: int
    failed: int
    refused: int
    cancelled: int
    runs: dict[str, int]
    runs_by_call: dict[str, int]


class Counters:
    """Counts of one stand-in since its start; the newest runs are kept."""

    def __init__(self) -> None:
        """Starts at zero."""
        self.running = 0
        self.started = 0
        self.done = 0
        self.failed = 0
        self.refused = 0
        self.cancelled = 0
        self._runs: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._runs_by_call: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def count_run(self, request_id: str, call_id: str) -> None:
        """Counts the begin of a run.

        Args:
            request_id: Id of the whole request.
            call_id: Id of the call within it; empty if it has no context.
        """
        _increment(self._runs, request_id)
        if call_id:
            _increment(self._runs_by_call, f"{request_id}/{call_id}")

    def view(self) -> CountersView:
        """Gives all counts."""
        return CountersView(
            running=self.running,
            started=self.started,
            done=self.done,
            failed=self.failed,
            refused=self.refused,
            cancelled=self.cancelled,
            runs=dict(self._runs),
            runs_by_call=dict(self._runs_by_call),
        )


def _increment(
    counts: collections.OrderedDict[str, int], identifier: str
) -> None:
    counts[identifier] = counts.get(identifier, 0) + 1
    if len(counts) > RUNS_KEPT:
        counts.popitem(last=False)
