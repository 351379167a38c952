"""A log of commands for one control instance alone."""

from collections.abc import Callable
from typing import Any

from cranberrymux.control import state_machine
from cranberrymux.wire import codec
from cranberrymux.wire.gen.messages import ttypes


class MemoryLog:
    """Applies commands at once and keeps nothing; for tests and trials."""

    def __init__(
        self,
        control_id: str,
        leader_id: str,
        machine: state_machine.StateMachine,
        now_ms: Callable[[], int],
        lease_ms: int,
    ) -> None:
        """Keeps the state machine and a Unix clock.

        Args:
            control_id: Name of this instance.
            leader_id: Name of the one instance that takes commands.
            machine: Applies the commands.
            now_ms: Unix clock.
            lease_ms: How long the leader vouches.
        """
        self._control_id = control_id
        self._leader_id = leader_id
        self._machine = machine
        self._now_ms = now_ms
        self._lease_ms = lease_ms

    async def propose(self, command: Any) -> Any:
        """Applies a command; see `CommandLog.propose`."""
        return await self.propose_here(command)

    async def propose_here(self, command: Any) -> Any:
        """Applies a command; see `CommandLog.propose_here`."""
        if self._control_id != self._leader_id:
            return ttypes.CommandAnswer(
                committed=False,
                rejected=True,
                leader=self._leader_id,
                retry_after_ms=0,
            )
        command.at_ms = self._now_ms()
        return self._machine.apply(codec.encode(command))

    def vouched_ms(self) -> int:
        """One lease on the leader, 0 elsewhere."""
        return self._lease_ms if self.role() == "leader" else 0

    def contact(self, contact: Any) -> Any:
        """Answers as an instance that holds no log."""
        return ttypes.ContactAnswer(
            replica_id=self._control_id,
            cluster_id="",
            commit_index=0,
            vouched_ms=0,
        )

    def describe(self) -> dict[str, Any]:
        """There is nothing to tell."""
        return {}

    def role(self) -> str:
        """The instance's role."""
        is_leader = self._control_id == self._leader_id
        return "leader" if is_leader else "follower"

    def leader(self) -> str:
        """Name of the leader."""
        return self._leader_id

    def deliver(self, message: Any) -> None:
        """Drops the message."""
