"""One call as the fakes pass it on."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from bench.overload import deployment
from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.models import refusal
from cranberrymux.models import request_context


class Request:
    """A whole request of a client; its resends share it.

    Attributes:
        request_id: Its id.
        kind: What it asks for.
        shed_hash: Fixed at the entry from its id.
        is_poison: True if it crashes the deepest backend server.
        retries_left: Integer budget of retries, granted once.
    """

    __slots__ = ("is_poison", "kind", "request_id", "retries_left", "shed_hash")

    def __init__(
        self,
        request_id: str,
        kind: deployment.RequestKind,
        shed_hash: int,
        is_poison: bool,
    ) -> None:
        """Makes a request without retries."""
        self.request_id = request_id
        self.kind = kind
        self.shed_hash = shed_hash
        self.is_poison = is_poison
        self.retries_left = 0

    @property
    def priority(self) -> int:
        """Order of shedding."""
        return self.kind.class_rank * 128 + self.shed_hash

    def make_context(self, attempt: int) -> request_context.RequestContext:
        """Makes the context of one attempt of one of its calls."""
        return request_context.RequestContext(
            self.request_id,
            self.request_id,
            "",
            0,
            self.kind.class_rank,
            self.shed_hash,
            self.retries_left,
            attempt,
            once_only=not self.kind.is_idempotent,
            idempotent=self.kind.is_idempotent,
        )


class Answer(NamedTuple):
    """What comes back for a call.

    Attributes:
        request_id: The request that it answers.
        served: Services that ran it, deepest last; empty if it failed.
        refusal: Why a node refused it; None if a backend server answered.
        level: Level of the endpoint that answered.
        load: Load that its node measured.
    """

    request_id: str
    served: tuple[str, ...]
    refusal: refusal.Refusal | None
    level: int
    load: float


class Callee(Protocol):
    """The node that a call was sent to."""

    def cancel(self, call: "Call") -> None:
        """Takes a cancellation from the network."""


class Call:
    """One attempt of one call.

    Attributes:
        call_id: Unique.
        request: The request that it is part of.
        depth: Place in the request's chain.
        deadline_s: When its caller stops waiting.
        answer: Told the answer once.
        lost_attempts: Earlier attempts whose backend server was lost.
        has_run: True once a backend server had it.
        is_over: True once answered or cancelled.
        child: The call that it waits for.
        node: The node that it was sent to.
        standing: How its node's quarantine judged it.
        downstream_s: Seconds spent in children.
        started_s: When its backend server called the next service.
    """

    __slots__ = (
        "answer",
        "downstream_s",
        "call_id",
        "child",
        "deadline_s",
        "depth",
        "has_run",
        "lost_attempts",
        "is_over",
        "node",
        "request",
        "standing",
        "started_s",
    )

    def __init__(
        self,
        call_id: str,
        request: Request,
        depth: int,
        deadline_s: float,
        answer: Callable[[Answer], None],
        *,
        node: Callee,
        lost_attempts: int,
    ) -> None:
        """Makes a call that was not yet sent."""
        self.call_id = call_id
        self.request = request
        self.depth = depth
        self.deadline_s = deadline_s
        self.answer = answer
        self.node = node
        self.lost_attempts = lost_attempts
        self.standing = isolation.Isolation.CLEAR
        self.has_run = False
        self.is_over = False
        self.child: Call | None = None
        self.downstream_s = 0.0
        self.started_s = 0.0

    @property
    def fingerprint(self) -> fingerprint.Fingerprint:
        """What quarantine knows it by."""
        request_id = self.request.request_id
        return fingerprint.Fingerprint(self.service, request_id, request_id)

    @property
    def service(self) -> str:
        """Service that it calls."""
        return self.request.kind.chain[self.depth]
