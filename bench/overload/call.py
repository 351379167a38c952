"""Requests, the attempts of their calls, and answers."""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from bench.overload import deployment
from cranberrymux.decisions.quarantine import fingerprint
from cranberrymux.decisions.quarantine import isolation
from cranberrymux.models import refusal
from cranberrymux.models import request_context


class Request:
    """A request of a client, shared by its resends and all their calls.

    Attributes:
        request_id: Unique id.
        kind: Kind of request, which sets class and chain of calls.
        shed_hash: Order of shedding within its class, 0 to 127; 0 is shed
            last.
        is_poison: True if it crashes each deepest backend server that runs it.
        retries_left: Unspent retries of all its calls.
    """

    __slots__ = ("is_poison", "kind", "request_id", "retries_left", "shed_hash")

    def __init__(
        self,
        request_id: str,
        kind: deployment.RequestKind,
        shed_hash: int,
        is_poison: bool,
    ) -> None:
        """Creates a request with an empty retry budget."""
        self.request_id = request_id
        self.kind = kind
        self.shed_hash = shed_hash
        self.is_poison = is_poison
        self.retries_left = 0

    @property
    def priority(self) -> int:
        """Priority number; 0 is shed last."""
        return self.kind.class_rank * 128 + self.shed_hash

    def make_context(self, attempt: int) -> request_context.RequestContext:
        """Returns the context of an attempt; the first attempt is 1."""
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
    """Answer to one attempt of a call.

    Attributes:
        request_id: Id of the request that it answers.
        served_by: Services that completed their part of the chain, deepest
            last; empty if the call failed or was refused.
        refusal: Refusal by a node; None if a backend server answered.
        level: Shed level of the endpoint that answered.
        load: Load of that endpoint, 0.0 to 1.0.
    """

    request_id: str
    served_by: tuple[str, ...]
    refusal: refusal.Refusal | None
    level: int
    load: float


class Callee(Protocol):
    """Node that a call was sent to, as seen by the caller."""

    def cancel(self, call: "Call") -> None:
        """Handles a cancellation that arrives from the caller."""


class Call:
    """One attempt of one call.

    Attributes:
        call_id: Unique id of the attempt.
        request: Request that the call is part of.
        depth: Index in the request's chain, from 0.
        deadline_s: Virtual seconds at which its caller stops waiting.
        on_answer: Called once with the answer, at the node.
        lost_attempts: Number of earlier attempts that lost their backend
            server.
        has_run: True once a backend server has accepted it.
        is_over: True once its caller has an answer or gave up.
        child: Latest attempt of its downstream call; None if none is open.
        node: Node that it was sent to.
        isolation: Isolation by the quarantine of its node.
        downstream_s: Seconds spent waiting for its downstream call.
        downstream_started_s: Virtual seconds at which its backend server
            made the downstream call.
    """

    __slots__ = (
        "on_answer",
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
        "isolation",
        "downstream_started_s",
    )

    def __init__(
        self,
        call_id: str,
        request: Request,
        depth: int,
        deadline_s: float,
        on_answer: Callable[[Answer], None],
        *,
        node: Callee,
        lost_attempts: int,
    ) -> None:
        """Creates an attempt that is not sent yet."""
        self.call_id = call_id
        self.request = request
        self.depth = depth
        self.deadline_s = deadline_s
        self.on_answer = on_answer
        self.node = node
        self.lost_attempts = lost_attempts
        self.isolation = isolation.Isolation.CLEAR
        self.has_run = False
        self.is_over = False
        self.child: Call | None = None
        self.downstream_s = 0.0
        self.downstream_started_s = 0.0

    @property
    def fingerprint(self) -> fingerprint.Fingerprint:
        """Fingerprint under which the quarantine counts deaths."""
        request_id = self.request.request_id
        return fingerprint.Fingerprint(self.service, request_id, request_id)

    @property
    def service(self) -> str:
        """Name of the service that it calls."""
        return self.request.kind.chain[self.depth]
