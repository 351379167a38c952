"""The life cycle of a node."""

from typing import Protocol

import automat


class LifecycleActions(Protocol):
    """What happens when the state changes."""

    def start_serving(self) -> None:
        """Tells the directory that new calls are taken."""

    def start_draining(self) -> None:
        """Tells the directory, refuses new calls, keeps those in flight."""

    def finish(self) -> None:
        """Ends the process."""


class LifecycleState:
    """Shared state of the machine's instances.

    Attributes:
        actions: Whoever carries the changes out.
        is_draining: True once a drain has begun.
        is_stopping: True if the process ends after the drain.
    """

    def __init__(self, actions: LifecycleActions) -> None:
        """Keeps the actions."""
        self.actions = actions
        self.is_draining = False
        self.is_stopping = False


class Lifecycle(Protocol):
    """Inputs of the machine."""

    def backend_announced(self) -> None:
        """The backend server announced itself."""

    def drain(self) -> None:
        """The backend server or an operator asked for a drain."""

    def stop(self) -> None:
        """The process was asked to stop."""

    def drained(self) -> None:
        """Nothing is in flight any more, or the limit has passed."""


def _build() -> automat.TypeMachineBuilder[Lifecycle, LifecycleState]:
    builder: automat.TypeMachineBuilder[Lifecycle, LifecycleState] = (
        automat.TypeMachineBuilder(Lifecycle, LifecycleState)
    )
    starting = builder.state("starting")
    serving = builder.state("serving")
    draining = builder.state("draining")
    stopped = builder.state("stopped")

    @starting.upon(Lifecycle.backend_announced).to(serving)
    def _(machine: Lifecycle, state: LifecycleState) -> None:
        state.actions.start_serving()

    @starting.upon(Lifecycle.drain).to(draining)
    @serving.upon(Lifecycle.drain).to(draining)
    def _(machine: Lifecycle, state: LifecycleState) -> None:
        state.actions.start_draining()

    @starting.upon(Lifecycle.stop).to(draining)
    @serving.upon(Lifecycle.stop).to(draining)
    def _(machine: Lifecycle, state: LifecycleState) -> None:
        state.is_stopping = True
        state.actions.start_draining()

    @draining.upon(Lifecycle.stop).loop()
    def _(machine: Lifecycle, state: LifecycleState) -> None:
        state.is_stopping = True

    @draining.upon(Lifecycle.drained).to(stopped)
    def _(machine: Lifecycle, state: LifecycleState) -> None:
        state.actions.finish()

    serving.upon(Lifecycle.backend_announced).loop().returns(None)
    draining.upon(Lifecycle.backend_announced).loop().returns(None)
    draining.upon(Lifecycle.drain).loop().returns(None)
    for one in (starting, serving, stopped):
        one.upon(Lifecycle.drained).loop().returns(None)
    stopped.upon(Lifecycle.backend_announced).loop().returns(None)
    stopped.upon(Lifecycle.drain).loop().returns(None)
    stopped.upon(Lifecycle.stop).loop().returns(None)
    return builder


make_lifecycle = _build().build()
