"""Checks an answer against its limits while it is read."""

from cranberrymux.node.http import answer_limits
from cranberrymux.node.http import framing_meter


class AnswerBudget:
    """Counts what is read of the answer to one request.

    The methods that count return which limit is exceeded, or an empty text.
    """

    def __init__(self, limits: answer_limits.AnswerLimits) -> None:
        """Starts without anything read.

        Args:
            limits: Limits on each answer.
        """
        self._limits = limits
        self._meter = framing_meter.FramingMeter(limits.framing_bytes)
        self._head_bytes = 0
        self._header_count = 0
        self._body_bytes = 0
        self._interim_answers = 0

    def begin_request(self) -> None:
        """Starts to count for the next request."""
        self._meter.begin()
        self._interim_answers = 0

    def begin_answer(self) -> None:
        """Starts to count the next answer, which may be a 1xx answer."""
        self._head_bytes = 0
        self._header_count = 0
        self._body_bytes = 0

    def note_header(self, name: bytes, value: bytes) -> str:
        """Counts a header or a trailer."""
        self._head_bytes += len(name) + len(value)
        self._header_count += 1
        if self._head_bytes > self._limits.head_bytes:
            return f"over {self._limits.head_bytes} bytes of headers"
        if self._header_count > self._limits.header_count:
            return f"over {self._limits.header_count} headers"
        return ""

    def note_interim_answer(self) -> str:
        """Counts a 1xx answer."""
        self._interim_answers += 1
        if self._interim_answers > self._limits.interim_answers:
            return f"over {self._limits.interim_answers} interim answers"
        return ""

    def note_body(self, size: int, *, is_discarded: bool) -> str:
        """Counts a part of the body.

        Args:
            size: Length of the part in bytes.
            is_discarded: True if the answer belongs to another request.
        """
        self._meter.note_body(size)
        self._body_bytes += size
        limit = self._limits.body_bytes
        if is_discarded:
            limit = self._limits.discarded_bytes
        return f"body over {limit} bytes" if self._body_bytes > limit else ""

    def note_read(self, size: int) -> str:
        """Counts a read, after what it has brought was counted."""
        self._meter.note_read(size)
        if self._meter.is_exceeded:
            return "too many bytes without any of the body"
        return ""
