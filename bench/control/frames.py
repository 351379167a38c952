"""Frames of the Control service, made and read without a reactor."""

import socket
import time
from typing import Any

from thrift.protocol import TBinaryProtocol
from thrift.Thrift import TMessageType
from thrift.transport import TTransport

from cranberrymux.wire import codec
from cranberrymux.wire.gen.messages import Control

_HEADER_BYTES = 4


def encode_call(name: str, key: str, message: Any, number: int) -> bytes:
    """Returns the frame of one call."""
    buffer = TTransport.TMemoryBuffer()
    protocol = codec.create_protocol_factory().getProtocol(buffer)
    arguments = getattr(Control, f"{name}_args")(key, message)
    protocol.writeMessageBegin(name, TMessageType.CALL, number)
    arguments.write(protocol)
    protocol.writeMessageEnd()
    body = buffer.getvalue()
    return len(body).to_bytes(_HEADER_BYTES, "big") + bytes(body)


def decode_answer(name: str, body: bytes) -> tuple[int, Any]:
    """Returns the number and the answer of a frame's body."""
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(
        TTransport.TMemoryBuffer(body)
    )
    _, _, number = protocol.readMessageBegin()
    result = getattr(Control, f"{name}_result")()
    result.read(protocol)
    return number, result.success


class Connection:
    """A blocking connection that counts its bytes."""

    def __init__(self, port: int) -> None:
        """Connects to a port on loopback."""
        self._socket = socket.create_connection(("127.0.0.1", port), 10.0)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._received = b""
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, frame: bytes) -> None:
        """Sends a frame."""
        self._socket.sendall(frame)
        self.sent_bytes += len(frame)

    def receive(self) -> bytes:
        """Returns the body of the next frame."""
        header = self._read(_HEADER_BYTES)
        return self._read(int.from_bytes(header, "big"))

    def close(self) -> None:
        """Ends the connection."""
        self._socket.close()

    def _read(self, size: int) -> bytes:
        while len(self._received) < size:
            chunk = self._socket.recv(1 << 18)
            if not chunk:
                raise ConnectionError("closed")
            self._received += chunk
            self.received_bytes += len(chunk)
        taken, self._received = self._received[:size], self._received[size:]
        return taken


def run_pipelined(
    port: int, name: str, frames: list[bytes], window: int
) -> tuple[float, list[float], list[Any]]:
    """Sends calls, numbered from 0, with at most `window` not yet answered.

    Returns:
        Seconds in all, the latency of each call in seconds, the answers.
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
