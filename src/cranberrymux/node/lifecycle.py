"""State machine of a node: starting, serving, draining, stopped."""

from typing import Protocol

import automat


class LifecycleActions(Protocol):
    """Interface of the code that carries out changes of state."""

    def start_serving(self) -> None:
        """Announces in the directory that new calls are accepted."""

    def start_draining(self) -> None:
        """Announces the drain; refuses new calls, lets those in flight end."""

    def finish(self) -> None:
        """Ends the node's work, so that the process can end."""


class LifecycleState:
    """Data that the state machine works on.

    Attributes:
        actions: Carries out changes of state.
        is_draining: True once a drain has begun.
        is_stopping: True if the process ends after the drain.
    """

    def __init__(self, actions: LifecycleActions) -> None:
        """Starts without a drain or a stop.

        Args:
            actions: Carries out changes of state.
        """
        self.actions = actions
        self.is_draining = False
        self.is_stopping = False


class Lifecycle(Protocol):
    """Inputs of the state machine."""

    def backend_announced(self) -> None:
        """Handles an announcement of the backend server."""

    def drain(self) -> None:
        """Handles the request of a backend server or operator to drain."""

    def stop(self) -> None:
        """Handles the request to stop the process, after a drain."""

    def drained(self) -> None:
        """Handles the end of a drain: nothing in flight, or limit reached."""


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
    for ignoring in (starting, serving, stopped):
        ignoring.upon(Lifecycle.drained).loop().returns(None)
    stopped.upon(Lifecycle.backend_announced).loop().returns(None)
    stopped.upon(Lifecycle.drain).loop().returns(None)
    stopped.upon(Lifecycle.stop).loop().returns(None)
    return builder


make_lifecycle = _build().build()
