"""Order of waiting requests: rank, then fair among accounts, then deadline.

Start-time fair queueing: each account of a rank has a virtual start time, which
grows by one with each of its requests that starts. The account with the lowest
one is next. Without accounts, requests start by rank and deadline.
"""

from collections.abc import Iterable
import heapq
import itertools

from cranberrymux.decisions.pressure import slot_ticket

# Accounts without waiting requests whose start times are kept.
MAXIMUM_IDLE_FLOWS = 512


class _Flow:
    """Requests of one account and rank."""

    __slots__ = ("requests", "start", "weight")

    def __init__(self, start: float) -> None:
        self.start = start
        self.weight = 1.0
        self.requests: list[tuple[float, int, int]] = []


_FlowKey = tuple[float, str]


class AccountQueue:
    """Orders waiting requests; those that left it are skipped by its owner.

    Attributes:
        order: Heap of the accounts and ranks that have requests; empty while
            none waits. Only this class changes it.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._sequence = itertools.count()
        self._flows: dict[_FlowKey, _Flow] = {}
        self.order: list[tuple[float, float, int, _FlowKey]] = []
        self._now_by_rank: dict[float, float] = {}
        self._has_accounts = False

    @property
    def has_accounts(self) -> bool:
        """True once a request of an account was queued."""
        return self._has_accounts

    def push(self, ticket: slot_ticket.Ticket) -> None:
        """Adds a request."""
        if ticket.account:
            self._has_accounts = True
        key = (ticket.rank, ticket.account)
        flow = self._flows.get(key)
        if flow is None:
            self._remove_idle_flows()
            flow = self._flows[key] = _Flow(0.0)
        flow.weight = ticket.weight
        if not flow.requests:
            now = self._now_by_rank.get(ticket.rank, 0.0)
            flow.start = max(flow.start, now)
            self._push_flow(key, flow)
        heapq.heappush(
            flow.requests,
            (ticket.deadline_s, next(self._sequence), ticket.ticket_id),
        )

    def pop(self) -> int:
        """Removes the next request, without a charge to its account."""
        key = self.order[0][3]
        flow = self._flows[key]
        ticket_id = heapq.heappop(flow.requests)[2]
        if not flow.requests:
            heapq.heappop(self.order)
        return ticket_id

    def charge(self, rank: float, account: str) -> None:
        """Records that a request that was popped last starts."""
        key = (rank, account)
        flow = self._flows[key]
        self._now_by_rank[rank] = flow.start
        flow.start += 1.0 / flow.weight
        if flow.requests:
            heapq.heapreplace(
                self.order, (rank, flow.start, next(self._sequence), key)
            )

    def count_ahead(
        self, waiting: Iterable[slot_ticket.Ticket], ticket: slot_ticket.Ticket
    ) -> int:
        """Counts the requests that start before a new one.

        Args:
            waiting: All waiting requests.
            ticket: The new request.
        """
        if not self._has_accounts and not ticket.account:
            order = _get_order(ticket)
            return sum(1 for other in waiting if _get_order(other) <= order)
        ahead = 0
        turn = self._get_start(ticket.rank, ticket.account)
        counts: dict[str, int] = {}
        weights: dict[str, float] = {}
        for other in waiting:
            if other.rank < ticket.rank:
                ahead += 1
            elif other.rank > ticket.rank:
                continue
            elif other.account != ticket.account:
                counts[other.account] = counts.get(other.account, 0) + 1
                weights[other.account] = other.weight
            elif other.deadline_s <= ticket.deadline_s:
                ahead += 1
                turn += 1.0 / ticket.weight
        for account, count in counts.items():
            lead = turn - self._get_start(ticket.rank, account)
            turns = int(lead * weights[account] + 1.0)
            ahead += min(count, max(turns, 0))
        return ahead

    def find_last(
        self, waiting: Iterable[slot_ticket.Ticket], ticket: slot_ticket.Ticket
    ) -> slot_ticket.Ticket:
        """Returns the request to refuse when the queue is full.

        It is of the least important rank, there of the account with the most
        requests, and of these the one of the tree that began last.

        Args:
            waiting: All waiting requests, at least one.
            ticket: A new request, which may be the one to refuse.
        """
        if self._has_accounts or ticket.account:
            return _find_last(waiting, ticket)
        last = max(waiting, key=_get_order)
        return ticket if _get_order(last) <= _get_order(ticket) else last

    def _get_start(self, rank: float, account: str) -> float:
        """Returns the virtual start time of the account's next request."""
        flow = self._flows.get((rank, account))
        now = self._now_by_rank.get(rank, 0.0)
        if flow is None:
            return now
        return flow.start if flow.requests else max(flow.start, now)

    def clear(self) -> None:
        """Removes all requests."""
        self._flows.clear()
        self.order.clear()
        self._now_by_rank.clear()

    def _push_flow(self, key: _FlowKey, flow: _Flow) -> None:
        heapq.heappush(
            self.order, (key[0], flow.start, next(self._sequence), key)
        )

    def _remove_idle_flows(self) -> None:
        if len(self._flows) < MAXIMUM_IDLE_FLOWS:
            return
        for key in [
            key for key, flow in self._flows.items() if not flow.requests
        ]:
            del self._flows[key]


def _find_last(
    waiting: Iterable[slot_ticket.Ticket], ticket: slot_ticket.Ticket
) -> slot_ticket.Ticket:
    last_rank = ticket.rank
    last: dict[str, slot_ticket.Ticket] = {ticket.account: ticket}
    shares = {ticket.account: 1.0 / ticket.weight}
    for other in waiting:
        rank, account = other.rank, other.account
        if rank < last_rank:
            continue
        if rank > last_rank:
            last_rank = rank
            last.clear()
            shares.clear()
        share = shares.get(account, 0.0)
        shares[account] = share + 1.0 / other.weight
        if not share or other.deadline_s > last[account].deadline_s:
            last[account] = other
    # Of equals `max` takes the first: the new request leaves the others alone.
    return last[max(shares, key=shares.__getitem__)]


def _get_order(ticket: slot_ticket.Ticket) -> tuple[float, float]:
    """Order within an account: by rank, then the tree that began first."""
    return ticket.rank, ticket.deadline_s
