"""The operator: sends configurations and reads them back."""

import asyncio
import json
import random
import time

from review.common import http_messages

PATH = "/cranberrymux/config"
DEFAULT_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout": "3000ms",
    "idle_timeout": "15000ms",
}
_ROUTE_COLUMNS = (
    "name",
    "host",
    "path_prefix",
    "kind",
    "timeout",
    "slo",
    "priority",
    "split",
    "attempts",
    "service",
)
_FINAL_STATUSES = (200, 400, 409, 412, 413, 422)


def make_configuration(version, routes, services, limits=None):
    """Returns the body of a configuration.

    Args:
        version: Its version.
        routes: Of each route name, path prefix, kind, timeout and service.
        services: Names of the services.
        limits: Limits that differ from the default ones.
    """
    rows = [
        [name, "app.example", prefix, kind, timeout, timeout, 0, None, 2, to]
        for name, prefix, kind, timeout, to in routes
    ]
    columns = ["name", "health", "max_conns", "protocol", "tls"]
    return json.dumps(
        {
            "version": version,
            "routes": {"columns": _ROUTE_COLUMNS, "rows": rows},
            "services": {
                "columns": columns,
                "rows": [
                    [name, "/health", 424, "h1", False] for name in services
                ],
            },
            "limits": {**DEFAULT_LIMITS, **(limits or {})},
        }
    ).encode()


class Operator:
    """Calls the control instances as the page on the operator's API says."""

    def __init__(self, addresses, record):
        """Takes the `IP:PORT` of the control instances and a log function."""
        self.addresses = list(addresses)
        self._record = record

    async def put(self, body, base, within_s):
        """Sends a configuration until there is a clear answer.

        Returns:
            Its status; 0 if there was none in time.
        """
        headers = {"If-Match": str(base), "Content-Type": "application/json"}
        status = await self._repeat("PUT", headers, body, within_s)
        version = json.loads(body)["version"]
        self._record(f"operator: PUT of version {version} -> {status[0]}")
        return status[0]

    async def get_version(self, within_s):
        """Reads the configuration; returns its version, 0 if none came."""
        status, body = await self._repeat("GET", {}, b"", within_s)
        version = json.loads(body)["version"] if status == 200 else 0
        self._record(f"operator: GET -> {status}, version {version}")
        return version

    async def _repeat(self, method, headers, body, within_s):
        until_s = time.monotonic() + within_s
        backoff_s = 0.1
        seen = {}
        while time.monotonic() < until_s:
            address = random.choice(self.addresses)
            try:
                answer = await self._call(address, method, headers, body)
            except (OSError, EOFError, TimeoutError, ValueError):
                answer = None
            if answer is not None and answer.status in _FINAL_STATUSES:
                return answer.status, answer.body
            what = "no answer" if answer is None else str(answer.status)
            seen[what] = seen.get(what, 0) + 1
            await asyncio.sleep(backoff_s)
            backoff_s = min(1.5 * backoff_s, 0.5)
        self._record(f"operator: {method} got no clear answer: {seen}")
        return 0, b""

    async def _call(self, address, method, headers, body):
        path = PATH
        for _ in range(3):
            answer = await http_messages.call(
                address, method, path, headers, body
            )
            if answer.status != 307:
                return answer
            target = answer.headers["location"].removeprefix("http://")
            address, _, path = target.partition("/")
            path = f"/{path}"
        return answer
