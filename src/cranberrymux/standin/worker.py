"""Runs the calls of a stand-in in a fixed number of slots."""

from typing import Any

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task

from cranberrymux.standin import behaviour as behaviour_module
from cranberrymux.standin import call as call_module
from cranberrymux.standin import child_client
from cranberrymux.standin import counters as counters_module
from cranberrymux.standin import standin_settings


class Worker:
    """Runs each call in one slot, for its service time and child calls."""

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        behaviour: behaviour_module.Behaviour,
        counters: counters_module.Counters,
        children: child_client.ChildClient,
        reactor: interfaces.IReactorTime,
    ) -> None:
        """Starts with every slot free.

        Args:
            settings: The stand-in's settings.
            behaviour: Draws the service times.
            counters: Counters that runs increment.
            children: Client of the child calls.
            reactor: Clock and timers.
        """
        self._settings = settings
        self._behaviour = behaviour
        self._counters = counters
        self._children = children
        self._reactor: Any = reactor
        self._slots = defer.DeferredSemaphore(settings.slots)

    @property
    def is_full(self) -> bool:
        """True if slots and queue are full."""
        limit = self._settings.slots + self._settings.queue_limit
        return self._counters.running >= limit

    @property
    def is_immediate(self) -> bool:
        """True if calls take no service time and make no child calls."""
        return not (self._behaviour.service_time_ms or self._settings.children)

    @property
    def load(self) -> float:
        """Share of the slots in use, from 0 to 1."""
        return min(1.0, self._counters.running / self._settings.slots)

    async def run(self, call: call_module.Call) -> list[Any]:
        """Waits for a slot and runs a call in it.

        Returns:
            The decoded answers of the child calls, in order.

        Raises:
            ChildCallError: A child call had no usable answer.
        """
        await self._slots.acquire()
        try:
            self._counters.count_run(call.request_id, call.call_id)
            time_s = self._behaviour.draw_service_time_s(
                self._reactor.seconds()
            )
            if time_s:
                await task.deferLater(self._reactor, time_s)
            return await self._children.call_all(call)
        finally:
            self._slots.release()
