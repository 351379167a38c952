"""Clients of the deployment."""

import asyncio
import itertools
import time
import typing

from review.common import http_messages
from review.common import processes

HOST = "app.example"
_numbers = itertools.count(1)


class Outcome(typing.NamedTuple):
    """One request and how it ended.

    Attributes:
        request_id: Its id.
        sent_s: Monotonic seconds at which it was sent.
        status: Status of the answer; 0 without a whole one.
        is_proven: True if the answer bears the stamp of an endpoint.
        detail: Why there is no answer; empty if there is one.
    """

    request_id: str
    sent_s: float
    status: int
    is_proven: bool
    detail: str


class Client:
    """Sends requests on one kept connection, one after the other."""

    def __init__(self, address):
        """Takes the `outbound` address of a node."""
        self._address = address
        self._streams = None

    async def send(self, method, path, body=b"", deadline_s=5.0):
        """Sends a request; returns its outcome."""
        request_id = f"request-{next(_numbers)}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(deadline_s * 1000)),
        }
        request = http_messages.encode(
            f"{method} {path} HTTP/1.1", headers, body
        )
        sent_s = time.monotonic()
        try:
            answer = await asyncio.wait_for(
                self._exchange(request), deadline_s + 1.0
            )
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            self.close()
            return Outcome(request_id, sent_s, 0, False, repr(error))
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        is_proven = "server-stamp" in answer.headers
        return Outcome(request_id, sent_s, answer.status, is_proven, "")

    async def _exchange(self, request):
        if self._streams is None:
            self._streams = await http_messages.connect(self._address)
        reader, writer = self._streams
        writer.write(request)
        await writer.drain()
        return await http_messages.read_answer(reader)

    def close(self):
        """Closes the connection; the next request opens another."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def wait_until_served(address, path, method="GET"):
    """Sends requests until one is served; raises `CannotRunError` if none."""
    client = Client(address)
    for _ in range(80):
        outcome = await client.send(method, path, deadline_s=2.0)
        if outcome.status == 200:
            client.close()
            return
        await asyncio.sleep(0.25)
    raise processes.CannotRunError(
        f"no request to {path} is served at {address}"
    )
