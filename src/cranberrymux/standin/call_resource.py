"""HTTP resource that receives the calls to a stand-in."""

# twisted.web has no types on most of its methods.
# mypy: disable-error-code="no-untyped-call"

import json
import os
from typing import Any

import structlog
from twisted.internet import defer
from twisted.python import failure as failure_module
from twisted.web import resource
from twisted.web import server

from cranberrymux.standin import call as call_module
from cranberrymux.standin import child_call_error
from cranberrymux.standin import counters as counters_module
from cranberrymux.standin import standin_settings
from cranberrymux.standin import worker as worker_module
from cranberrymux.telemetry import event

CRASH_EXIT_STATUS = 70


class CallResource(resource.Resource):
    """Runs each call and answers with JSON that names its request.

    A call with the crash marker ends the process with `CRASH_EXIT_STATUS`. A
    caller that closes its connection cancels its call.
    """

    isLeaf = True  # noqa: N815

    def __init__(
        self,
        settings: standin_settings.StandinSettings,
        endpoint: str,
        counters: counters_module.Counters,
        worker: worker_module.Worker,
    ) -> None:
        """Stores what every call needs; runs nothing yet.

        Args:
            settings: The stand-in's settings.
            endpoint: Name of the endpoint, which answers contain.
            counters: Counters that calls increment.
            worker: Runs calls that take time or make child calls.
        """
        super().__init__()
        self._settings = settings
        self._endpoint = endpoint
        self._counters = counters
        self._worker = worker
        self._crash_marker = settings.crash_marker.encode()

    def render(self, request: server.Request) -> bytes | int:
        """Starts one call; see `twisted.web.resource.IResource`."""
        marker = request.getHeader(b"cranberrymux-standin-crash")
        if self._crash_marker and marker == self._crash_marker:
            os._exit(CRASH_EXIT_STATUS)
        request.setHeader(b"content-type", b"application/json")
        if self._worker.is_full:
            self._counters.refused += 1
            request.setResponseCode(503)
            return b'{"reason": "no-slot"}'
        call = call_module.parse(
            request.method, request.uri, request.requestHeaders
        )
        self._counters.started += 1
        if self._worker.is_immediate:
            self._counters.count_run(call.request_id, call.call_id)
            self._counters.done += 1
            return self._build_answer(call, [])
        self._start(request, call)
        return server.NOT_DONE_YET

    def _start(self, request: server.Request, call: call_module.Call) -> None:
        self._counters.running += 1
        running = defer.Deferred.fromCoroutine(self._worker.run(call))
        request.notifyFinish().addErrback(lambda _: running.cancel())
        running.addBoth(self._finish, request, call)

    def _finish(
        self,
        result: list[Any] | failure_module.Failure,
        request: server.Request,
        call: call_module.Call,
    ) -> None:
        self._counters.running -= 1
        if not isinstance(result, failure_module.Failure):
            self._counters.done += 1
            self._send(request, self._build_answer(call, result))
            return
        error = result.value
        if isinstance(error, defer.CancelledError):
            self._counters.cancelled += 1
            return
        self._counters.failed += 1
        if isinstance(error, child_call_error.ChildCallError):
            self._send(request, self._build_failure(request, call, error))
            return
        structlog.get_logger().error(event.Event.FAULT, error=repr(error))
        request.setResponseCode(500)
        self._send(request, b'{"reason": "internal-error"}')

    def _send(self, request: server.Request, body: bytes) -> None:
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()

    def _build_failure(
        self,
        request: server.Request,
        call: call_module.Call,
        error: child_call_error.ChildCallError,
    ) -> bytes:
        request.setResponseCode(502)
        if error.retry_after_s:
            request.setHeader("Retry-After", error.retry_after_s)
        if error.retry_after_ms:
            request.setHeader(
                "Cranberrymux-Retry-After-Ms", error.retry_after_ms
            )
        return json.dumps(
            {
                "service": self._settings.service,
                "endpoint": self._endpoint,
                "request_id": call.request_id,
                "path": call.path,
                "child": error.service,
                "reason": error.reason,
            }
        ).encode()

    def _build_answer(
        self, call: call_module.Call, children: list[Any]
    ) -> bytes:
        answer = {
            "service": self._settings.service,
            "endpoint": self._endpoint,
            "request_id": call.request_id,
            "path": call.path,
            "children": children,
        }
        body = json.dumps(answer).encode()
        # JSON parsers ignore trailing spaces.
        return body.ljust(self._settings.response_bytes)
