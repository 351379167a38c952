"""Interface of the replicated command log to the two servers."""

from typing import Any
from typing import Protocol


class CommandLog(Protocol):
    """Commits commands in the same order on all control instances."""

    async def propose(self, command: Any) -> Any:
        """Commits a thrift `Command`, here or through the leader.

        Returns:
            The `CommandAnswer`. If `committed` is false, the command may still
            be committed later, unless `rejected` is true.
        """

    async def propose_here(self, command: Any) -> Any:
        """Like `propose`, but rejects unless this instance is the leader."""

    async def take_quota(self, request: Any) -> Any:
        """Sends a `QuotaRequest` to the leader.

        Returns:
            `QuotaAnswer | WireError`.
        """

    def vouched_ms(self) -> int:
        """Returns for how long this instance vouches for its state.

        While it vouches, its state lacks no command that was committed more
        than one leader lease ago.

        Returns:
            Milliseconds from now; 0 if it does not vouch.
        """

    def contact(self, contact: Any) -> Any:
        """Handles another instance's `Contact`; returns a `ContactAnswer`."""

    def describe(self) -> dict[str, Any]:
        """Returns the status of the log for operators, as JSON values."""

    def role(self) -> str:
        """Returns the role in the log; "leader" for the leader."""

    def leader(self) -> str:
        """Returns the leader's `control_id`; empty if none is known."""

    def leader_address(self) -> str:
        """Returns `ip:port` of the leader; empty if none is known."""

    def term(self) -> int:
        """Returns the term of the log; no two leaders have the same."""

    def addresses(self) -> tuple[str, ...]:
        """Returns `ip:port` of every known control instance."""

    def deliver(self, message: Any) -> None:
        """Handles a thrift `PeerMessage` from another control instance."""
