"""Asks the control instances for claims of calls that run at most once."""

from collections.abc import Sequence
from typing import Any
from typing import Protocol

from twisted.internet import defer

from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes

_SETTLE_ATTEMPTS = 20
_SETTLE_PAUSE_S = 0.25


class ClaimClient(Protocol):
    """A connection to a control instance."""

    async def claim(self, request: Any) -> Any:
        """Sends a `ClaimRequest`; answers `ClaimAnswer | WireError`."""

    async def settle(self, request: Any) -> Any:
        """Sends a `SettleRequest`; answers `ClaimAnswer | WireError`."""


class ClaimTask:
    """Owns the conversation with the control instances on claims."""

    def __init__(self, clients: Sequence[ClaimClient], reactor: Any) -> None:
        """Keeps the connections, nearest first."""
        self._clients = clients
        self._reactor = reactor
        self._pending = 0

    @property
    def pending(self) -> int:
        """Settlements that no control instance has confirmed yet."""
        return self._pending

    async def claim(self, request: Any) -> Any:
        """Asks one control instance after the other.

        Args:
            request: A `ClaimRequest` with a `claim_id`.

        Returns:
            The `ClaimAnswer`; with `UNAVAILABLE` if nobody answered. A claim
            that may have been granted without our knowing is given back.
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
        """Stores the answer of a claimed call, in the background."""
        defer.ensureDeferred(self._settle(_end(request, status, body)))

    def release(self, request: Any) -> None:
        """Gives a claim back whose call was not run, in the background."""
        defer.ensureDeferred(self._settle(_end(request, 0, None)))

    async def _settle(self, ended: Any) -> None:
        self._pending += 1
        try:
            await self._settle_until_confirmed(ended)
        finally:
            self._pending -= 1

    async def _settle_until_confirmed(self, ended: Any) -> None:
        for _ in range(_SETTLE_ATTEMPTS):
            for client in self._clients:
                answer = await client.settle(ended)
                if not isinstance(answer, wire_error.WireError):
                    return
            await self._pause()

    async def _pause(self) -> None:
        pause: defer.Deferred[None] = defer.Deferred()
        self._reactor.callLater(_SETTLE_PAUSE_S, pause.callback, None)
        await pause


def _end(request: Any, status: int, body: bytes | None) -> Any:
    return ttypes.SettleRequest(
        request_id=request.request_id,
        call_id=request.call_id,
        owner=request.owner,
        owner_incarnation=request.owner_incarnation,
        status=status,
        body=body,
        claim_id=request.claim_id,
    )
