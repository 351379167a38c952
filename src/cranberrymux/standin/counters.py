"""Counters of the calls to a stand-in."""

import collections
from typing import TypedDict

MAXIMUM_COUNTED_IDS = 200_000


class CountersSnapshot(TypedDict):
    """The body of `GET /counters`.

    Attributes:
        running: Calls that hold a slot or wait for one at present.
        started: Calls accepted.
        done: Calls answered with 200.
        failed: Calls answered with 502 because a child call had no usable
            answer, or with 500 after an internal error.
        refused: Calls answered with 503 because slots and queue were full.
        cancelled: Calls whose caller closed the connection.
        runs: Number of started runs by request id.
        runs_by_call: Number of started runs by `REQUEST_ID/CALL_ID`, for calls
            with a context.
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
    """Counts of one stand-in since its start.

    Runs are kept for the newest `MAXIMUM_COUNTED_IDS` ids only, to bound the
    memory.
    """

    def __init__(self) -> None:
        """Sets every count to zero."""
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
        """Counts the start of a run.

        Args:
            request_id: Id of the request that the call belongs to.
            call_id: Id of the call within the request; empty without a context.
        """
        _increment(self._runs, request_id)
        if call_id:
            _increment(self._runs_by_call, f"{request_id}/{call_id}")

    def snapshot(self) -> CountersSnapshot:
        """Returns a copy of all counts."""
        return CountersSnapshot(
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
    if len(counts) > MAXIMUM_COUNTED_IDS:
        counts.popitem(last=False)
