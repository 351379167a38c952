"""Asks the callee's node what became of an attempt."""

from collections.abc import Callable
import json
from typing import TypedDict

from cranberrymux.decisions.answers import attempt_key
from cranberrymux.decisions.answers import vouch
from cranberrymux.decisions.answers import vouch_verdict
from cranberrymux.node.http import answer_head
from cranberrymux.node.http import client_connection
from cranberrymux.node.http import connection_pool
from cranberrymux.node.http import headers
from cranberrymux.node.http import lost_answer

VOUCH_TARGET = b"/cranberrymux/v1/vouch"
_MAXIMUM_ANSWER_BYTES = 1024


class VouchBody(TypedDict):
    """JSON body of a vouch.

    Attributes:
        verdict: Value of a `VouchVerdict`.
        incarnation: Incarnation of the node that vouches.
        covered_s: How far back its memory of hand-overs is complete.
    """

    verdict: str
    incarnation: int
    covered_s: float


def encode_key(key: attempt_key.AttemptKey) -> bytes:
    """Encodes an attempt as the value of `Cranberrymux-Vouch`."""
    return f"{key.request_id};{key.call_id};{key.attempt}".encode()


def decode_key(value: bytes) -> attempt_key.AttemptKey | None:
    """Reads the value of `Cranberrymux-Vouch`; None if it is not valid."""
    parts = value.decode("latin-1").split(";")
    if len(parts) != 3 or not parts[2].isdigit():
        return None
    return attempt_key.AttemptKey(parts[0], parts[1], int(parts[2]))


def decode_vouch(body: bytes) -> vouch.Vouch | None:
    """Reads the body of a vouch; None if it is not valid."""
    try:
        values = json.loads(body)
        return vouch.Vouch(
            vouch_verdict.VouchVerdict(values["verdict"]),
            int(values["incarnation"]),
            float(values["covered_s"]),
        )
    except (ValueError, TypeError, KeyError):
        return None


class VouchRequest:
    """One question; implements `answer_sink.AnswerSink`."""

    def __init__(
        self,
        key: attempt_key.AttemptKey,
        proof: bytes,
        on_vouch: Callable[[vouch.Vouch | None], None],
    ) -> None:
        """Keeps the question.

        Args:
            key: The attempt.
            proof: Proof that the asker is a node.
            on_vouch: Called once; with None if there is no word.
        """
        self._key = key
        self._proof = proof
        self._on_vouch = on_vouch
        self._status = 0
        self._body = b""
        self._is_over = False
        self._lease: connection_pool.Lease | None = None
        self._connection: client_connection.ClientConnection | None = None

    def start(
        self,
        pool: connection_pool.ConnectionPool,
        address: connection_pool.Address,
    ) -> None:
        """Sends the question."""
        self._lease = pool.take(address, self._connected, self.answer_lost)

    def give_up(self) -> None:
        """Ends the question without a word."""
        if self._is_over:
            return
        if self._lease is not None:
            self._lease.is_cancelled = True
        if self._connection is not None:
            self._connection.cancel()
        self._end(None)

    def answer_interim(self, status: int, extra: headers.HeaderList) -> None:
        """Ignores 1xx answers."""

    def answer_started(self, head: answer_head.AnswerHead) -> None:
        """Takes the status."""
        self._status = head.status

    def answer_part(self, part: bytes) -> None:
        """Collects the body."""
        if len(self._body) < _MAXIMUM_ANSWER_BYTES:
            self._body += part

    def answer_complete(self) -> None:
        """Reads the vouch."""
        word = decode_vouch(self._body) if self._status == 200 else None
        self._end(word)

    def answer_lost(self, loss: lost_answer.LostAnswer) -> None:
        """Ends without a word."""
        del loss
        self._end(None)

    def request_full(self) -> None:
        """Ignored: the question is short."""

    def request_drained(self) -> None:
        """Ignored: the question is short."""

    def _connected(
        self, connection: client_connection.ClientConnection
    ) -> None:
        if self._is_over:
            connection.close()
            return
        self._connection = connection
        request = (
            b"POST %b HTTP/1.1\r\nhost: node\r\ncontent-length: 0\r\n"
            b"cranberrymux-key: %b\r\ncranberrymux-vouch: %b\r\n\r\n"
            % (VOUCH_TARGET, self._proof, encode_key(self._key))
        )
        connection.send_request(request, True, False, self)

    def _end(self, word: vouch.Vouch | None) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._on_vouch(word)
