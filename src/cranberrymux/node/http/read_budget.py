"""Bounds the bytes that the connections of a process hold while they read.

Guards against peers that each stay below the limits of one request, and
together fill the memory: the connection that holds most is closed.
"""

from collections.abc import Callable
from typing import Protocol

MAXIMUM_HELD_BYTES = 40 << 20


class Holder(Protocol):
    """A connection that holds a part of a request."""

    def shed(self) -> None:
        """Rejects the request that it reads, and closes."""


class ReadBudget:
    """Sums what is read of requests that were not passed on yet."""

    def __init__(
        self,
        limit_bytes: int = MAXIMUM_HELD_BYTES,
        on_shed: Callable[[int], None] | None = None,
    ) -> None:
        """Starts without connections.

        Args:
            limit_bytes: Most bytes that all connections hold together.
            on_shed: Called with the bytes that a connection held, before it
                is closed for the limit.
        """
        self._limit_bytes = limit_bytes
        self._on_shed = on_shed
        self._held: dict[Holder, int] = {}
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes that all connections hold now."""
        return self._used_bytes

    def update(self, holder: Holder, held_bytes: int) -> None:
        """Notes how much a connection holds; 0 once it has ended.

        Args:
            holder: The connection, which may be closed by this call.
            held_bytes: Bytes that it has read of a request and not passed on.
        """
        self._used_bytes += held_bytes - self._held.pop(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        while self._used_bytes > self._limit_bytes:
            self._shed_largest()

    def _shed_largest(self) -> None:
        largest = max(self._held, key=self._held.__getitem__)
        held_bytes = self._held.pop(largest)
        self._used_bytes -= held_bytes
        if self._on_shed is not None:
            self._on_shed(held_bytes)
        largest.shed()
