"""All requests that the backend server beside this node runs."""

from cranberrymux.gateway import hop
from cranberrymux.gateway import running_work


class RunningWorks:
    """Requests by their numbers, and how many of them wait for calls."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._works: dict[int, running_work.RunningWork] = {}
        self._waiting = 0

    @property
    def working(self) -> int:
        """Requests that are worked on and do not wait for a call."""
        return len(self._works) - self._waiting

    def begin(self, ticket_id: int, standing: hop.Standing) -> None:
        """Takes note that a request is handed over."""
        self._works[ticket_id] = running_work.RunningWork(standing)

    def find(self, ticket_id: int | None) -> running_work.RunningWork | None:
        """Returns a request that runs; None if it does not."""
        return None if ticket_id is None else self._works.get(ticket_id)

    def end(self, ticket_id: int) -> None:
        """Takes note that a request has ended."""
        work = self._works.pop(ticket_id, None)
        if work is not None and work.open_calls:
            self._waiting -= 1

    def begin_call(self, ticket_id: int | None, now_s: float) -> bool:
        """Takes note that a request makes a call; False if it does not run."""
        work = self.find(ticket_id)
        if work is None:
            return False
        self._waiting += not work.open_calls
        work.begin_call(now_s)
        return True

    def end_call(
        self, ticket_id: int | None, now_s: float, is_failed: bool
    ) -> None:
        """Takes note that a call ended that a request made."""
        work = self.find(ticket_id)
        if work is None:
            return
        work.end_call(now_s, is_failed)
        self._waiting -= not work.open_calls
