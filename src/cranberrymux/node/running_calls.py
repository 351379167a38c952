"""Table of the calls that the backend server is running."""

from cranberrymux.models import request_context
from cranberrymux.node import running_call


class RunningCalls:
    """Running calls by request id and call id, to find the parents of calls."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._calls: dict[tuple[str, str], running_call.RunningCall] = {}

    def __len__(self) -> int:
        """Returns the number of running calls."""
        return len(self._calls)

    def add(self, call: running_call.RunningCall) -> None:
        """Adds a call that is handed over to the backend server."""
        context = call.context
        self._calls[context.request_id, context.call_id] = call

    def remove(self, call: running_call.RunningCall) -> None:
        """Removes a call that has ended."""
        context = call.context
        self._calls.pop((context.request_id, context.call_id), None)

    def find(
        self, context: request_context.RequestContext
    ) -> running_call.RunningCall | None:
        """Returns the running call with the ids of a context; None if none."""
        return self._calls.get((context.request_id, context.call_id))
