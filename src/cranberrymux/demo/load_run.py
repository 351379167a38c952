"""Runs `cranberrymux-load` against a deployment."""

from collections.abc import Sequence
import json
import subprocess
import sys
from typing import Any

from cranberrymux.demo import deployment


def make_kinds(resend_attempts: int = 0) -> list[dict[str, Any]]:
    """Returns the kinds of requests of the demo.

    Dispatches are sent again when the answer says so; the others at once.

    Args:
        resend_attempts: Times that lookups and exports are sent again.
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
    """Starts a load; `read_report` waits for its end."""
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
    """Waits for the end of a load; returns its report."""
    output, _ = running.communicate()
    report: dict[str, Any] = json.loads(output)
    return report
