"""The requests that the backend server runs, by ticket id."""

from cranberrymux.gateway import hop
from cranberrymux.gateway import running_request


class RunningRequests:
    """Indexes the running requests and counts those that wait for calls."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._requests: dict[int, running_request.RunningRequest] = {}
        self._waiting_count = 0

    @property
    def working(self) -> int:
        """Number of running requests that do not wait for a call."""
        return len(self._requests) - self._waiting_count

    def begin(self, ticket_id: int, tree_context: hop.TreeContext) -> None:
        """Adds a request that is sent to the backend server."""
        self._requests[ticket_id] = running_request.RunningRequest(tree_context)

    def find(
        self, ticket_id: int | None
    ) -> running_request.RunningRequest | None:
        """Returns a running request; None if the id is None or unknown."""
        return None if ticket_id is None else self._requests.get(ticket_id)

    def end(self, ticket_id: int) -> None:
        """Removes a request that has ended."""
        request = self._requests.pop(ticket_id, None)
        if request is not None and request.open_calls:
            self._waiting_count -= 1

    def begin_call(self, ticket_id: int | None, now_s: float) -> bool:
        """Records the start of a call; False if its parent does not run."""
        request = self.find(ticket_id)
        if request is None:
            return False
        self._waiting_count += not request.open_calls
        request.begin_call(now_s)
        return True

    def end_call(
        self, ticket_id: int | None, now_s: float, is_failed: bool
    ) -> None:
        """Records the end of a call; ignored if its parent does not run."""
        request = self.find(ticket_id)
        if request is None:
            return
        request.end_call(now_s, is_failed)
        self._waiting_count -= not request.open_calls
