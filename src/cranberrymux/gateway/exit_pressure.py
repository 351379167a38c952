"""Share of the offered work that the backend server can take, with its log."""

from collections.abc import Callable
import functools
import math
from typing import Any

from cranberrymux.decisions.accounts import request_rank
from cranberrymux.decisions.pressure import fair_shares
from cranberrymux.decisions.pressure import share_meter
from cranberrymux.decisions.pressure import slot_scheduler
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import work_report
from cranberrymux.gateway import hop
from cranberrymux.gateway import parts as parts_module

PRESSURE_LOG_INTERVAL_S = 1.0  # Minimum time between two "pressure" lines.
MAXIMUM_LOGGED = 10  # Accounts in one "accounts-held-back" line.
_KEPT_KEYS = 256  # Results kept by `_make_key`.


class ExitPressure:
    """Keeps the share up to date and logs it while it is below 1.0.

    Attributes:
        due_s: Monotonic seconds before which `update` has no effect.
    """

    def __init__(
        self,
        parts: parts_module.GatewayParts,
        scheduler: slot_scheduler.SlotScheduler,
        describe_load: Callable[[], dict[str, Any]],
    ) -> None:
        """Starts with a share of 1.0.

        Args:
            parts: Shared state of the gateway.
            scheduler: The slots of the backend server.
            describe_load: Returns the log fields of load and health.
        """
        self._parts = parts
        self._scheduler = scheduler
        self._describe_load = describe_load
        self._meter = share_meter.ShareMeter(parts.clock.now_s())
        self._logged_at_s = parts.clock.now_s()
        self._encoded_service = parts.settings.service.encode()
        self._window_ends_s = -math.inf
        self.due_s = -math.inf

    @property
    def share(self) -> float:
        """Share of the offered work that fits, 0.0 to 1.0."""
        return self._meter.share

    @property
    def held_back_count(self) -> int:
        """Number of accounts that get less than they request."""
        return self._meter.accounts.held_back_count

    def note_arrival(self, route: str, tree_context: hop.TreeContext) -> None:
        """Counts a request that asks for a slot; see `ShareMeter`."""
        self._meter.note_arrival(
            route,
            tree_context.share,
            _make_key(
                tree_context.rank, tree_context.account, tree_context.root_route
            ),
            tree_context.offered,
        )

    def note_refusal(self, route: str, tree_context: hop.TreeContext) -> None:
        """Counts a request that got no slot; see `ShareMeter`."""
        if self._meter.accounts.is_in_use:
            self._meter.note_refusal(
                route, _get_key(tree_context), tree_context.offered
            )

    def note_backend_refusal(self, route: str) -> None:
        """Notes that the backend server refused; see `ShareMeter`."""
        self._meter.note_backend_refusal(route)

    def get_weight(self, tree_context: hop.TreeContext) -> float:
        """Returns the weight of a request's account in the queue."""
        return self._meter.accounts.get_weight(_get_key(tree_context))

    def note_hold(self, route: str, hold_s: float) -> None:
        """Records for how long a request of a route held its slot."""
        self._meter.note_hold(route, hold_s)
        self._parts.metrics.hold_s[route,].observe(hold_s)

    def get_hold_s(self, route: str) -> float:
        """Returns the mean time for which requests of a route hold a slot."""
        return self._meter.get_hold_s(route)

    def update(self, now_s: float, limit_per_s: float | None) -> None:
        """Updates the share.

        Args:
            now_s: Monotonic seconds.
            limit_per_s: Rate limit of the backend server; None without one.
        """
        if self._meter.is_due(now_s):
            scheduler = self._scheduler
            waiting_s = scheduler.waiting * scheduler.mean_hold_s
            self._meter.roll(now_s, scheduler.slots, waiting_s, limit_per_s)
            self._window_ends_s = now_s + share_meter.WINDOW_S
        is_due = now_s - self._logged_at_s >= PRESSURE_LOG_INTERVAL_S
        if is_due and self._meter.share < 1.0:
            self._logged_at_s = now_s
            self._log()
        self.due_s = self._window_ends_s
        if self._meter.share < 1.0:
            log_due_s = self._logged_at_s + PRESSURE_LOG_INTERVAL_S
            self.due_s = min(self.due_s, log_due_s)

    def reset(self) -> None:
        """Returns the share to 1.0, as the rate limit that lowered it ended."""
        self._meter.reset()

    def report(
        self,
        tree_context: hop.TreeContext,
        hold_s: float = 0.0,
        offered_s: float | None = None,
    ) -> work_report.WorkReport:
        """Returns the work of one request here, and the shares that fit.

        Args:
            tree_context: Context of the request.
            hold_s: Seconds for which it held a slot; 0.0 if it did not run.
            offered_s: Seconds of work that were offered here; None if they are
                `hold_s`.
        """
        share = self._meter.share
        account_share = None
        if share < 1.0:
            account_share = self._meter.get_account_share(
                _get_key(tree_context)
            )
        own = work_report.ServiceWork(hold_s, share, account_share, offered_s)
        return {self._parts.settings.service: own}

    def encode_report(
        self,
        tree_context: hop.TreeContext,
        hold_s: float,
        offered_s: float | None = None,
    ) -> bytes:
        """Returns `report` as a header value."""
        if self._meter.share < 1.0 or offered_s is not None:
            own = self.report(tree_context, hold_s, offered_s)
            return work_report.encode(own)
        return work_report.encode_part(self._encoded_service, hold_s, 1.0)

    def _log(self) -> None:
        self._parts.events.info(
            "pressure",
            service=self._parts.settings.service,
            share=round(self.share, 3),
            use=round(self._meter.utilization, 3),
            **self._describe_load(),
            hold_ms=round(self._scheduler.mean_hold_s * 1000),
        )
        held_back = self._meter.accounts.list_held_back(MAXIMUM_LOGGED)
        if held_back:
            self._parts.events.info(
                "accounts-held-back",
                service=self._parts.settings.service,
                accounts=[_describe(account) for account in held_back],
                count=self._meter.accounts.held_back_count,
            )


def _describe(account: fair_shares.HeldBack) -> dict[str, Any]:
    priority, route_priority = request_rank.split_rank(account.key.priority)
    return {
        "account": account.key.name,
        "priority": priority,
        "route_priority": route_priority,
        "slots_requested": round(account.per_s, 2),
        "share": round(account.share, 3),
    }


def _get_key(tree_context: hop.TreeContext) -> fair_shares.AccountKey:
    return _make_key(
        tree_context.rank, tree_context.account, tree_context.root_route
    )


@functools.lru_cache(_KEPT_KEYS)
def _make_key(
    rank: float, account: str, root_route: str
) -> fair_shares.AccountKey:
    """Returns the account of a tree, with the rank of its root."""
    return traffic_class_module.make_key(math.ceil(rank), account, root_route)
