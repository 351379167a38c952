"""What the servers need of the log of commands."""

from typing import Any
from typing import Protocol


class CommandLog(Protocol):
    """Commits commands in one order on all control instances."""

    async def propose(self, command: Any) -> Any:
        """Commits a thrift `Command`; answers its `CommandAnswer`.

        With `committed` false the command may still be committed later,
        unless `rejected` is true.
        """

    async def propose_here(self, command: Any) -> Any:
        """Like `propose`, but only if this instance leads."""

    def vouched_ms(self) -> int:
        """How long this instance vouches for its configuration; 0: not."""

    def contact(self, contact: Any) -> Any:
        """Takes a thrift `Contact`; returns its `ContactAnswer`."""

    def describe(self) -> dict[str, Any]:
        """What operators want to know of the log, as JSON values."""

    def role(self) -> str:
        """The instance's role, for operators."""

    def leader(self) -> str:
        """Name of the leader; empty if none is known."""

    def addresses(self) -> tuple[str, ...]:
        """`ip:port` of the control instances that are known."""

    def deliver(self, message: Any) -> None:
        """Takes a thrift `PeerMessage`."""
