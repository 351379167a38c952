"""The calls that the backend server runs, found by their context."""

from cranberrymux.models import request_context
from cranberrymux.node import running_call


class RunningCalls:
    """A table by request id and call id."""

    def __init__(self) -> None:
        """Makes an empty table."""
        self._calls: dict[tuple[str, str], running_call.RunningCall] = {}

    def __len__(self) -> int:
        """Returns how many calls run."""
        return len(self._calls)

    def add(self, call: running_call.RunningCall) -> None:
        """Takes a call that is handed to the backend server."""
        context = call.context
        self._calls[context.request_id, context.call_id] = call

    def remove(self, call: running_call.RunningCall) -> None:
        """Takes note that a call has ended."""
        context = call.context
        self._calls.pop((context.request_id, context.call_id), None)

    def find(
        self, context: request_context.RequestContext
    ) -> running_call.RunningCall | None:
        """Returns the running call with the ids of a context."""
        return self._calls.get((context.request_id, context.call_id))
