"""Client of the child calls, which go through the node's egress port."""

# twisted.web has no types on most of its methods.
# mypy: disable-error-code="no-untyped-call"

import json
from typing import Any
from typing import cast

import treq
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.web import client
from twisted.web import http_headers

from cranberrymux.standin import call as call_module
from cranberrymux.standin import child_call_error
from cranberrymux.standin import standin_settings

CONNECT_TIMEOUT_S = 1.0
MAXIMUM_REASON_CHARACTERS = 100


class ChildClient:
    """Calls the services that the settings list, one after the other."""

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        reactor: interfaces.IReactorTime,
    ) -> None:
        """Creates the connection pool; opens no connection yet.

        Args:
            settings: The stand-in's settings.
            reactor: Clock, timers and TCP.
        """
        self._settings = settings
        pool = client.HTTPConnectionPool(cast(Any, reactor), persistent=True)
        pool.maxPersistentPerHost = settings.slots
        # A call whose connection is lost may have run: a second try could run
        # it twice.
        pool.retryAutomatically = False
        self._agent = client.Agent(
            cast(Any, reactor), connectTimeout=CONNECT_TIMEOUT_S, pool=pool
        )

    async def call_all(self, call: call_module.Call) -> list[Any]:
        """Makes every child call of one call, in the order of the settings.

        Returns:
            The decoded JSON answer of each child call, in that order.

        Raises:
            ChildCallError: A child call had no usable answer; later ones
                are not made.
        """
        answers = []
        for child in self._settings.children:
            for _ in range(child.calls):
                answers.append(await self._call(child.service, call))
        return answers

    async def _call(self, service: str, call: call_module.Call) -> Any:
        headers = call.headers.copy()
        headers.setRawHeaders("Cranberrymux-Service", [service])
        try:
            response = await treq.request(
                call.method,
                self._settings.egress_url + "/",
                headers=headers,
                agent=self._agent,
            )
            body = await response.content()
        except (
            error.ConnectError,
            error.ConnectionClosed,
            client.ResponseFailed,
            client.RequestTransmissionFailed,
        ) as failure:
            if _is_cancelled(failure):
                raise defer.CancelledError from failure
            raise child_call_error.ChildCallError(
                service, "connection-lost"
            ) from failure
        if response.code != 200:
            raise _build_error(service, response, body)
        try:
            return json.loads(body)
        except ValueError as failure:
            raise child_call_error.ChildCallError(
                service, "not-json"
            ) from failure


def _is_cancelled(request_error: Exception) -> bool:
    # treq reports a cancelled request like one whose response was lost.
    reasons = getattr(request_error, "reasons", ())
    return any(reason.check(defer.CancelledError) for reason in reasons)


def _build_error(
    service: str, response: Any, body: bytes
) -> child_call_error.ChildCallError:
    headers: http_headers.Headers = response.headers
    return child_call_error.ChildCallError(
        service,
        _first_value(headers, "Cranberrymux-Reason")
        or _read_reason(body)
        or f"status-{response.code}",
        _first_value(headers, "Retry-After"),
        _first_value(headers, "Cranberrymux-Retry-After-Ms"),
    )


def _read_reason(body: bytes) -> str:
    # A stand-in whose own child call failed answers with the reason of that
    # call.
    try:
        answer = json.loads(body)
    except (ValueError, RecursionError):
        return ""
    if not isinstance(answer, dict):
        return ""
    return str(answer.get("reason", ""))[:MAXIMUM_REASON_CHARACTERS]


def _first_value(headers: http_headers.Headers, name: str) -> str:
    values = headers.getRawHeaders(name)
    return values[0] if values else ""
