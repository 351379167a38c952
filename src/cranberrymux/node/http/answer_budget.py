"""Checks an answer against its limits while it is read."""

from cranberrymux.node.http import answer_limits
from cranberrymux.node.http import framing_meter
from cranberrymux.node.http import header_reader


class AnswerBudget(framing_meter.FramingMeter):
    """Counts what is read of the answer to one request.

    The methods that count return which limit is exceeded, or an empty text.

    Attributes:
        headers: Headers and trailers of the answer.
        interim_answers: Number of 1xx answers to the request.
    """

    def __init__(self, limits: answer_limits.AnswerLimits) -> None:
        """Starts without anything read.

        Args:
            limits: Limits on each answer.
        """
        super().__init__(limits.framing_bytes)
        self._limits = limits
        self.headers = header_reader.HeaderReader(
            limits.head_bytes, limits.header_count
        )
        self._answer_body_bytes = 0
        self.interim_answers = 0

    def begin_answer(self) -> None:
        """Starts to count the next answer, which may be a 1xx answer."""
        self.headers.begin()
        self._answer_body_bytes = 0

    def check_headers(self) -> str:
        """Checks the headers and trailers read so far."""
        if not self.headers.pairs or not self.headers.is_exceeded:
            return ""
        if self.headers.has_too_many:
            return f"over {self._limits.header_count} headers"
        return f"over {self._limits.head_bytes} bytes of headers"

    def note_interim_answer(self) -> str:
        """Counts a 1xx answer."""
        self.interim_answers += 1
        if self.interim_answers > self._limits.interim_answers:
            return f"over {self._limits.interim_answers} interim answers"
        return ""

    def check_body(self, size: int, *, is_discarded: bool) -> str:
        """Counts a part of the body.

        Args:
            size: Length of the part in bytes.
            is_discarded: True if the answer belongs to another request.
        """
        self._new_body_bytes += size
        self._answer_body_bytes += size
        limit = self._limits.body_bytes
        if is_discarded:
            limit = self._limits.discarded_bytes
        if self._answer_body_bytes > limit:
            return f"body over {limit} bytes"
        return ""

    def check_read(self, size: int) -> str:
        """Counts a read, after what it has brought was counted."""
        if self.note_read(size):
            return "too many bytes without any of the body"
        return self.check_headers() if self.headers.pairs else ""
