"""Requests and settles claims of calls that run at most once."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

from twisted.internet import defer

from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes

_SETTLE_ATTEMPTS = 20
_SETTLE_PAUSE_S = 0.25


class ClaimClient(Protocol):
    """A connection to a control instance that grants claims."""

    async def claim(self, request: Any) -> Any:
        """Sends a `ClaimRequest`; returns `ClaimAnswer | WireError`."""

    async def settle(self, request: Any) -> Any:
        """Sends a `SettleRequest`; returns `ClaimAnswer | WireError`."""


class ClaimTask:
    """Sends claims and settlements to the control instances.

    A claim is tried once at each instance. A settlement is repeated in the
    background until an instance confirms it, at most `_SETTLE_ATTEMPTS` times.
    """

    def __init__(self, clients: Sequence[ClaimClient], reactor: Any) -> None:
        """Starts without settlements.

        Args:
            clients: Connections to the control instances, nearest first.
            reactor: Schedules the pauses between attempts to settle.
        """
        self._clients = clients
        self._reactor = reactor
        self._pending = 0

    @property
    def pending(self) -> int:
        """Number of settlements still being sent to the control instances."""
        return self._pending

    async def claim(self, request: Any) -> Any:
        """Requests a claim from one control instance after the other.

        Args:
            request: A `ClaimRequest` with a `claim_id`.

        Returns:
            The first `ClaimAnswer` with another verdict than `UNAVAILABLE`, or
            one with that verdict if there is none. Then, if the answer to a
            request that was sent got lost, the claim is released, since it may
            have been granted.
        """
        was_sent = False
        answer = None
        for client in self._clients:
            answer = await client.claim(request)
            if isinstance(answer, wire_error.WireError):
                was_sent = was_sent or answer.was_sent
                continue
            if answer.verdict != ttypes.ClaimVerdict.UNAVAILABLE:
                return answer
        if was_sent:
            self.release(request)
        if isinstance(answer, ttypes.ClaimAnswer):
            return answer
        return ttypes.ClaimAnswer(
            verdict=ttypes.ClaimVerdict.UNAVAILABLE, status=0, retry_after_ms=0
        )

    def settle(self, request: Any, status: int, body: bytes | None) -> None:
        """Stores the answer of a claimed call, in the background.

        Args:
            request: The `ClaimRequest` that was granted.
            status: HTTP status of the answer.
            body: Body of the answer; None if it is not stored.
        """
        defer.ensureDeferred(
            self._settle(_make_settlement(request, status, body))
        )

    def release(self, request: Any) -> None:
        """Releases the claim of a call that was not run, in the background."""
        defer.ensureDeferred(self._settle(_make_settlement(request, 0, None)))

    async def _settle(self, settlement: Any) -> None:
        self._pending += 1
        try:
            await self._settle_until_confirmed(settlement)
        finally:
            self._pending -= 1

    async def _settle_until_confirmed(self, settlement: Any) -> None:
        for _ in range(_SETTLE_ATTEMPTS):
            for client in self._clients:
                answer = await client.settle(settlement)
                if not isinstance(answer, wire_error.WireError):
                    return
            await self._wait_before_retry()

    async def _wait_before_retry(self) -> None:
        timer: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(_SETTLE_PAUSE_S, timer.callback, None)
        await timer


def _make_settlement(request: Any, status: int, body: bytes | None) -> Any:
    """Returns the `SettleRequest` for a claim; status 0 releases it."""
    return ttypes.SettleRequest(
        request_id=request.request_id,
        call_id=request.call_id,
        owner=request.owner,
        owner_incarnation=request.owner_incarnation,
        status=status,
        body=body,
        claim_id=request.claim_id,
    )
