"""Starts the calls of one connection and sends their answers in order.

A client may send further requests before the first one is answered. Those
that may run ahead start at once; their answers wait for the ones before them.
"""

import collections
from collections.abc import Callable
import enum
from typing import Protocol

from cranberrymux.node.http import call_handler
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import request_head

# Bytes of one answer that are held while others are sent before it. Beyond
# that, whoever sends the answer is asked to pause.
HELD_ANSWER_BYTES = 262_144

RunAheadPolicy = Callable[[request_head.RequestHead], bool]


def never_run_ahead(head: request_head.RequestHead) -> bool:
    """Starts each call only once all calls before it are answered."""
    del head  # No call may run ahead.
    return False


class PipelineOwner(Protocol):
    """The connection that the calls were read from."""

    @property
    def is_draining(self) -> bool:
        """True if the connection closes after the answers in progress."""

    def send(self, data: bytes) -> None:
        """Writes bytes to the client."""

    def close(self) -> None:
        """Closes once everything written has been sent."""

    def abort(self) -> None:
        """Closes at once, which leaves the answer truncated."""

    def pause_body(self) -> None:
        """Stops reading from the client."""

    def resume_body(self) -> None:
        """Reads from the client again."""

    def pipeline_advanced(self) -> None:
        """Called when an answer was sent and the connection stays open."""


class _End(enum.Enum):
    """How the answer to a call ended.

    Attributes:
        PENDING: It has not ended.
        KEEP: The connection may stay open.
        CLOSE: The connection closes.
        ABORT: The answer is truncated.
    """

    PENDING = "pending"
    KEEP = "keep"
    CLOSE = "close"
    ABORT = "abort"


class _Turn:
    """One call and its answer, held until the answers before it are sent.

    Implements `inbound_call.Connection` for its call.

    Attributes:
        call: The call.
        end: How its answer ended.
        is_first: True if all answers before it were sent.
        is_ready: True once enough of the request was read to start it.
        is_started: True once the handler has it.
    """

    def __init__(
        self,
        pipeline: "CallPipeline",
        owner: PipelineOwner,
        head: request_head.RequestHead,
    ) -> None:
        self._pipeline = pipeline
        self._owner = owner
        self._held: list[bytes] = []
        self._held_bytes = 0
        self.call = inbound_call.InboundCall(self, head)
        self.end = _End.PENDING
        self.is_first = False
        self.is_ready = False
        self.is_started = False

    @property
    def is_draining(self) -> bool:
        """True if the connection closes after this answer."""
        return self._owner.is_draining and not self._pipeline.has_started_after(
            self
        )

    def send(self, data: bytes) -> None:
        """Sends bytes of the answer, or holds them until it is their turn."""
        if self.is_first:
            self._owner.send(data)
            return
        self._held.append(data)
        self._held_bytes += len(data)
        if (
            self._held_bytes > HELD_ANSWER_BYTES
            and self.call.on_send_buffer_full is not None
        ):
            self.call.on_send_buffer_full()

    def call_answered(self, keep_alive: bool) -> None:
        """Notes that the answer is complete."""
        self.end = _End.KEEP if keep_alive else _End.CLOSE
        if self.is_first:
            self._pipeline.advance()

    def abort(self) -> None:
        """Notes that the answer is truncated."""
        self.end = _End.ABORT
        if self.is_first:
            self._pipeline.advance()

    def pause_body(self) -> None:
        """Stops reading from the client."""
        self._owner.pause_body()

    def resume_body(self) -> None:
        """Reads from the client again."""
        self._owner.resume_body()

    def become_first(self) -> None:
        """Sends what was held, as all answers before this one were sent."""
        self.is_first = True
        for data in self._held:
            self._owner.send(data)
        was_full = self._held_bytes > HELD_ANSWER_BYTES
        self._held = []
        self._held_bytes = 0
        if was_full and self.call.on_send_buffer_drained is not None:
            self.call.on_send_buffer_drained()


class CallPipeline:
    """The calls of one connection that have not been answered, in order.

    Attributes:
        waiting: Number of calls that were read and wait to be handled.
    """

    def __init__(
        self,
        owner: PipelineOwner,
        handler: call_handler.CallHandler,
        concurrent_calls: int,
        may_run_ahead: RunAheadPolicy,
    ) -> None:
        """Starts without calls.

        Args:
            owner: The connection.
            handler: Answers the calls.
            concurrent_calls: Most calls that are handled at a time.
            may_run_ahead: Tells from a request's head whether it may be
                handled before the requests before it are answered.
        """
        self._owner = owner
        self._handler = handler
        self._concurrent_calls = concurrent_calls
        self._may_run_ahead = may_run_ahead
        self._turns: collections.deque[_Turn] = collections.deque()
        self._is_closed = False
        self.waiting = 0

    @property
    def is_empty(self) -> bool:
        """True without calls, those being read included."""
        return not self._turns

    @property
    def is_answering(self) -> bool:
        """True if a call is handled or waits to be."""
        return bool(self._turns) and self._turns[0].is_ready

    @property
    def first(self) -> inbound_call.InboundCall | None:
        """The call whose answer is sent now or next; None without calls."""
        return self._turns[0].call if self._turns else None

    def is_handled(self, call: inbound_call.InboundCall) -> bool:
        """True if the handler has a call that was not answered."""
        return any(
            turn.call is call and turn.is_started for turn in self._turns
        )

    def has_started_after(self, turn: "_Turn") -> bool:
        """True if a call behind this one is handled."""
        return any(
            later.is_started
            for later in list(self._turns)[self._turns.index(turn) + 1 :]
        )

    def add(self, head: request_head.RequestHead) -> inbound_call.InboundCall:
        """Adds a call of which only the head was read."""
        turn = _Turn(self, self._owner, head)
        turn.is_first = not self._turns
        self._turns.append(turn)
        return turn.call

    def set_ready(self, call: inbound_call.InboundCall) -> None:
        """Lets a call start as soon as its turn comes."""
        for turn in self._turns:
            if turn.call is call:
                turn.is_ready = True
                if turn.is_first and not self._is_closed:
                    turn.is_started = True
                    self._handler.handle_call(call)
                else:
                    self.waiting += 1
                break
        if self.waiting:
            self._start_ready()

    def discard_last(self) -> None:
        """Removes the call that is being read, which was found to be bad."""
        turn = self._turns.pop()
        self.waiting -= turn.is_ready and not turn.is_started
        del turn.call  # Breaks the reference cycle of both.

    def close(self) -> None:
        """Starts and sends nothing more."""
        self._is_closed = True

    def disconnect(self) -> None:
        """Tells every call that the client disconnected."""
        self._is_closed = True
        turns = list(self._turns)
        self._turns.clear()
        self.waiting = 0
        for turn in turns:
            call = turn.call
            del turn.call  # Breaks the reference cycle of both.
            call.client_disconnected()
        del self._owner  # Likewise; it is not used once this is closed.

    def advance(self) -> None:
        """Sends the answers whose turn has come, and starts further calls."""
        if self._is_closed:
            return
        while self._turns and self._turns[0].end is not _End.PENDING:
            turn = self._turns.popleft()
            self.waiting -= turn.is_ready and not turn.is_started
            end = turn.end
            del turn.call  # Breaks the reference cycle of both.
            if end is _End.ABORT:
                self._owner.abort()
                return
            if end is _End.CLOSE:
                self._owner.close()
                return
            if self._turns:
                self._turns[0].become_first()
        if self._owner.is_draining and not self._has_started:
            self._owner.close()
            return
        if self.waiting:
            self._start_ready()
        self._owner.pipeline_advanced()

    @property
    def _has_started(self) -> bool:
        return any(turn.is_started for turn in self._turns)

    def _start_ready(self) -> None:
        while self.waiting and (turn := self._find_next()) is not None:
            turn.is_started = True
            self.waiting -= 1
            self._handler.handle_call(turn.call)

    def _find_next(self) -> _Turn | None:
        """Returns the call to start now, or None."""
        if self._is_closed:
            return None
        for started, turn in enumerate(self._turns):
            if not turn.is_started:
                if turn.is_first:
                    return turn if turn.is_ready else None
                return turn if self._may_run_beside(turn, started) else None
            if not _leaves_open(turn.call.head):
                return None
        return None

    def _may_run_beside(self, turn: _Turn, started: int) -> bool:
        return (
            turn.is_ready
            and started < self._concurrent_calls
            and turn.call.is_body_complete
            and not self._owner.is_draining
            and self._may_run_ahead(turn.call.head)
        )


def _leaves_open(head: request_head.RequestHead) -> bool:
    """True if the answer to a request need not close the connection."""
    return head.keep_alive and not head.is_http_1_0
