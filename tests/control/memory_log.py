"""A command log in memory for a control instance without peers."""

from collections.abc import Callable
from typing import Any

from cranberrymux.control import state_machine
from cranberrymux.wire import codec
from cranberrymux.wire import wire_error
from cranberrymux.wire.gen.messages import ttypes


class MemoryLog:
    """Applies commands at once without storing or replicating them."""

    def __init__(
        self,
        control_id: str,
        leader_id: str,
        machine: state_machine.StateMachine,
        now_ms: Callable[[], int],
        lease_ms: int,
    ) -> None:
        """Creates the log of one instance.

        Args:
            control_id: Name of this instance.
            leader_id: Name of the only instance that accepts commands.
            machine: Applies the commands.
            now_ms: Returns Unix milliseconds.
            lease_ms: Time for which the leader vouches for its state.
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

    async def take_quota(self, request: Any) -> Any:
        """Returns an error, as without a connection to the leader."""
        return wire_error.WireError(
            wire_error.WireErrorReason.NOT_CONNECTED, "no leader"
        )

    def vouched_ms(self) -> int:
        """Returns `lease_ms` on the leader and 0 on other instances."""
        return self._lease_ms if self.role() == "leader" else 0

    def contact(self, contact: Any) -> Any:
        """Answers like an instance that holds no log."""
        return ttypes.ContactAnswer(
            replica_id=self._control_id,
            cluster_id="",
            commit_index=0,
            vouched_ms=0,
        )

    def describe(self) -> dict[str, Any]:
        """Returns no details."""
        return {}

    def role(self) -> str:
        """Returns `leader` or `follower`."""
        is_leader = self._control_id == self._leader_id
        return "leader" if is_leader else "follower"

    def leader(self) -> str:
        """Returns the name of the leader."""
        return self._leader_id

    def leader_address(self) -> str:
        """Returns the name of the leader, which stands for its address."""
        return self._leader_id

    def term(self) -> int:
        """Returns the only term."""
        return 1

    def deliver(self, message: Any) -> None:
        """Drops the message."""
