"""Blocking client of the thrift service `Control`, without a reactor."""

import socket
import time
from typing import Any

from thrift.protocol import TBinaryProtocol
from thrift.Thrift import TMessageType
from thrift.transport import TTransport

from cranberrymux.wire import codec
from cranberrymux.wire.gen.messages import Control

_LENGTH_BYTES = 4


def encode_call(name: str, key: str, message: Any, number: int) -> bytes:
    """Returns the frame of one call, its length included.

    Args:
        name: Name of the method of `Control`.
        key: The cluster key.
        message: Thrift struct of the method's request.
        number: Sequence number, repeated in the answer.
    """
    buffer = TTransport.TMemoryBuffer()
    protocol = codec.create_protocol_factory().getProtocol(buffer)
    arguments = getattr(Control, f"{name}_args")(key, message)
    protocol.writeMessageBegin(name, TMessageType.CALL, number)
    arguments.write(protocol)
    protocol.writeMessageEnd()
    body = buffer.getvalue()
    return len(body).to_bytes(_LENGTH_BYTES, "big") + bytes(body)


def decode_answer(name: str, body: bytes) -> tuple[int, Any]:
    """Returns the sequence number and the thrift struct of an answer.

    Args:
        name: Name of the method that was called.
        body: The answer's frame without its length.
    """
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
        TTransport.TMemoryBuffer(body)
    )
    _, _, number = protocol.readMessageBegin()
    result = getattr(Control, f"{name}_result")()
    result.read(protocol)
    return number, result.success


class Connection:
    """A blocking connection that counts the bytes of both directions.

    Attributes:
        sent_bytes: Bytes sent so far, lengths of frames included.
        received_bytes: Bytes received so far, lengths of frames included.
    """

    def __init__(self, port: int) -> None:
        """Connects to a TCP port on loopback within 10 s."""
        self._socket = socket.create_connection(("127.0.0.1", port), 10.0)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, frame: bytes) -> None:
        """Sends one encoded frame."""
        self._socket.sendall(frame)
        self.sent_bytes += len(frame)

    def receive(self) -> bytes:
        """Waits for the next frame and returns it without its length.

        Raises:
            ConnectionError: The server closed the connection.
        """
        header = self._read_bytes(_LENGTH_BYTES)
        return self._read_bytes(int.from_bytes(header, "big"))

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()

    def _read_bytes(self, size: int) -> bytes:
        while len(self._buffer) < size:
            chunk = self._socket.recv(1 << 18)
            if not chunk:
                raise ConnectionError(
                    "the control instance closed the connection too early"
                )
            self._buffer += chunk
            self.received_bytes += len(chunk)
        data, self._buffer = self._buffer[:size], self._buffer[size:]
        return data


def run_pipelined(
    port: int, name: str, frames: list[bytes], window: int
) -> tuple[float, list[float], list[Any]]:
    """Sends calls on one connection without waiting for each answer.

    Args:
        port: TCP port of the control instance on loopback.
        name: Name of the method that all calls are to.
        frames: Encoded calls, with sequence numbers from 0 in this order.
        window: Maximum number of calls that are not answered yet.

    Returns:
        Duration of the whole run in seconds, and latency in seconds and answer
        of each call in the order of the answers.
    """
    connection = Connection(port)
    sent_at_s: dict[int, float] = {}
    latencies_s = []
    answers: list[Any] = []
    next_number = 0
    started_s = time.perf_counter()
    while len(answers) < len(frames):
        while next_number < len(frames) and len(sent_at_s) < window:
            sent_at_s[next_number] = time.perf_counter()
            connection.send(frames[next_number])
            next_number += 1
        number, answer = decode_answer(name, connection.receive())
        latencies_s.append(time.perf_counter() - sent_at_s.pop(number))
        answers.append(answer)
    connection.close()
    return time.perf_counter() - started_s, latencies_s, answers
