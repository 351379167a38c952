"""The requests that the backend server runs, by ticket id."""

from cranberrymux.gateway import hop
from cranberrymux.gateway import running_request

CALLS_WEIGHT = 0.05  # Weight of one request in the mean calls of its route.


class RunningRequests:
    """Indexes the running requests and counts those at work.

    Attributes:
        working: Number of running requests that do not wait for a call.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self._requests: dict[int, running_request.RunningRequest] = {}
        self._usual_calls: dict[str, float] = {}
        self.working = 0

    def begin(
        self, ticket_id: int, tree_context: hop.TreeContext, route: str = ""
    ) -> None:
        """Adds a request of a route that is sent to the backend server."""
        self._requests[ticket_id] = running_request.RunningRequest(
            tree_context, self._usual_calls.get(route, 0.0)
        )
        self.working += 1

    def find(
        self, ticket_id: int | None
    ) -> running_request.RunningRequest | None:
        """Returns a running request; None if the id is None or unknown."""
        return None if ticket_id is None else self._requests.get(ticket_id)

    def note_served(
        self, request: running_request.RunningRequest, route: str
    ) -> None:
        """Learns how many calls the requests of a route make, if they do.

        Args:
            request: A request that ended successfully and made calls.
            route: Its route.
        """
        calls = request.answered_calls
        usual_calls = self._usual_calls.get(route, calls)
        self._usual_calls[route] = usual_calls + CALLS_WEIGHT * (
            calls - usual_calls
        )

    def end(self, ticket_id: int) -> running_request.RunningRequest | None:
        """Removes and returns a request that has ended; None if unknown."""
        request = self._requests.pop(ticket_id, None)
        if request is not None and not request.open_calls:
            self.working -= 1
        return request

    def begin_call(self, ticket_id: int | None, now_s: float) -> bool:
        """Records the start of a call; False if its parent does not run."""
        request = self.find(ticket_id)
        if request is None:
            return False
        self.working -= not request.open_calls
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
        self.working += not request.open_calls
