"""The adapter that sends requests over HTTP, with treq."""

from collections.abc import Mapping
import json
from typing import Any

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.web import client

from cranberrymux.adapters import response
from cranberrymux.adapters import transport_error
from cranberrymux.models import http_status

MAXIMUM_BODY_BYTES = 64 << 20


class _BodyTooLargeError(Exception):
    """The body of the answer is larger than `MAXIMUM_BODY_BYTES`."""


class _NoHttpStatusError(Exception):
    """The answer has a status that is none of HTTP's final ones."""


class HttpAdapter:
    """Sends requests over HTTP with the operators' token as bearer token."""

    def __init__(self, token: str, timeout_ms: int, reactor: Any) -> None:
        """Stores the token and the time limit; opens no connection yet.

        Args:
            token: The operators' token.
            timeout_ms: Limit on one request, with the body of its answer.
            reactor: Twisted reactor, for connections and the clock.
        """
        self._token = token
        self._timeout_s = timeout_ms / 1000
        self._reactor = reactor

    async def send(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> response.Response | transport_error.TransportError:
        """Sends one request; see `Adapter.send`."""
        answer = defer.ensureDeferred(self._send(address, method, path, body))
        answer.addTimeout(self._timeout_s, self._reactor)
        try:
            return await answer
        except defer.TimeoutError:
            detail = f"no answer in {self._timeout_s:g} s"
        except (
            error.ConnectError,
            client.ResponseFailed,
            _NoHttpStatusError,
        ) as failed:
            detail = str(failed) or type(failed).__name__
        except (_BodyTooLargeError, ValueError):
            detail = "the answer is not a JSON object of at most 64 MiB"
        except Exception as failed:  # treq raises many error types.
            detail = type(failed).__name__
        return transport_error.TransportError(address, detail)

    async def pause(self, seconds: float) -> None:
        """Waits on the reactor; see `Adapter.pause`."""
        await task.deferLater(self._reactor, seconds)

    def now_s(self) -> float:
        """Returns the time of the reactor's clock, in seconds."""
        return float(self._reactor.seconds())

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, Any] | None,
    ) -> response.Response:
        data = None if body is None else json.dumps(body).encode()
        answer = await treq.request(
            method,
            f"http://{address}{path}",
            data=data,
            headers={
                "Authorization": f"Bearer {self._token}",
                "Content-Type": "application/json",
            },
            persistent=False,
            reactor=self._reactor,
        )
        if answer.code < http_status.MINIMUM_FINAL:
            raise _NoHttpStatusError(f"status {answer.code:03d}")
        chunks: list[bytes] = []
        await treq.collect(answer, _bounded_collector(chunks))
        values = json.loads(b"".join(chunks))
        if not isinstance(values, dict):
            raise ValueError("expected a JSON object")
        retry_after = answer.headers.getRawHeaders("Retry-After", ["0"])[0]
        seconds = float(retry_after) if retry_after.isdigit() else 0.0
        return response.Response(answer.code, values, seconds)


def _bounded_collector(chunks: list[bytes]) -> Any:
    size = 0

    def collect(chunk: bytes) -> None:
        nonlocal size
        size += len(chunk)
        if size > MAXIMUM_BODY_BYTES:
            raise _BodyTooLargeError
        chunks.append(chunk)

    return collect
