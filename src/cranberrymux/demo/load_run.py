"""Runs the load generator against a deployment."""

from collections.abc import Sequence
import json
import subprocess
import sys
from typing import Any

from cranberrymux.demo import deployment


def make_request_kinds(resend_attempts: int = 0) -> list[dict[str, Any]]:
    """Returns the settings of the kinds of requests of the demo.

    The client of dispatches resends after the delay that the response names;
    the client of lookups and exports resends at once.

    Args:
        resend_attempts: Limit of resends of each lookup and export.
    """
    impatient = {"resend_attempts": resend_attempts, "impatient": True}
    return [
        {
            "name": "dispatch",
            "weight": 1,
            "method": "POST",
            "path": "/dispatch",
            "principal": "dispatcher",
            "timeout_ms": 3000,
            "body_bytes": 100,
            "resend_attempts": 3,
        },
        {
            "name": "lookup",
            "weight": 5,
            "path": "/lookup",
            "principal": "dispatcher",
            "timeout_ms": 2000,
            **impatient,
        },
        {
            "name": "export",
            "weight": 4,
            "path": "/export",
            "principal": "auditor",
            "timeout_ms": 2000,
            **impatient,
        },
    ]


def start_load(
    where: deployment.Deployment,
    name: str,
    targets: Sequence[str],
    rate: float,
    seconds: float,
    kinds: Sequence[dict[str, Any]],
) -> subprocess.Popen[bytes]:
    """Starts a load and does not wait for its end.

    Args:
        where: Deployment whose folder holds the settings file.
        name: Name of the load, a part of the name of the settings file.
        targets: `ip:port` of each node, used in turn.
        rate: Mean arrivals per second, over all kinds.
        seconds: Duration of the arrivals.
        kinds: Settings of the kinds of requests.

    Returns:
        The process, for `read_report`.
    """
    path = where.write_settings(
        f"load-{name}",
        {
            "targets": list(targets),
            "rate": rate,
            "seconds": seconds,
            "connections": 400,
            "grace_s": 4,
            "kinds": list(kinds),
        },
    )
    return subprocess.Popen(
        [sys.executable, "-m", "cranberrymux.load", "--settings", path],
        stdout=subprocess.PIPE,
    )


def read_report(running: subprocess.Popen[bytes]) -> dict[str, Any]:
    """Waits for the end of a load and returns its report."""
    output, _ = running.communicate()
    report: dict[str, Any] = json.loads(output)
    return report
