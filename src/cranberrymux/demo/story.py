"""The chapters of the demo."""

import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

from cranberrymux.demo import deployment
from cranberrymux.demo import expectation
from cranberrymux.demo import service_plan

_ZONES = ("zone-0", "zone-1")

PLANS = (
    service_plan.ServicePlan("leak-notes", _ZONES, 13, 4.0),
    service_plan.ServicePlan(
        "address-history", _ZONES, 50, 4.0, ("leak-notes",)
    ),
    service_plan.ServicePlan(
        "crew-dispatch", _ZONES, 70, 4.0, ("address-history",)
    ),
)


class Story:
    """Runs the chapters one after the other."""

    def __init__(self, folder: str) -> None:
        """Prepares a deployment in a folder."""
        self._folder = pathlib.Path(folder)
        self._deployment = deployment.Deployment(folder)
        self._results: list[expectation.Expectation] = []

    def run(self) -> bool:
        """Tells the whole story; returns True if every expectation held."""
        try:
            self._start()
            self._show_healthy()
        finally:
            self._deployment.stop()
        return all(one.holds for one in self._results)

    def _start(self) -> None:
        began_s = time.monotonic()
        self._deployment.start_controls()
        self._deployment.start_services(PLANS)
        self._note(
            "start",
            f"3 control instances and {len(self._deployment.endpoints)} "
            f"endpoints serve after {time.monotonic() - began_s:.1f} s",
            "all of them serve, announced by themselves",
            True,
        )

    def _show_healthy(self) -> None:
        report = self._load("healthy", rate=60, seconds=3)
        self._note(
            "healthy",
            f"{report['done']} of {report['sent']} whole answers through "
            f"three services, {report['wrong']} wrong, {report['cut']} cut",
            "every one whole",
            report["done"] == report["sent"]
            and report["wrong"] == report["cut"] == 0,
        )

    def _load(self, name: str, rate: float, seconds: float) -> dict[str, Any]:
        path = self._deployment.write_settings(
            f"load-{name}",
            {
                "targets": self._deployment.ingress_addresses("crew-dispatch"),
                "rate": rate,
                "seconds": seconds,
                "kinds": [{"name": "dispatch", "timeout_ms": 2000}],
            },
        )
        done = subprocess.run(
            [sys.executable, "-m", "cranberrymux.load", "--settings", path],
            stdout=subprocess.PIPE,
            check=False,
        )
        report: dict[str, Any] = json.loads(done.stdout)["total"]
        return report

    def _note(
        self, chapter: str, shown: str, expected: str, holds: bool
    ) -> None:
        one = expectation.Expectation(chapter, shown, expected, holds)
        one.print()
        self._results.append(one)


def run() -> int:
    """Runs the demo; returns 0 if every expectation held."""
    with tempfile.TemporaryDirectory(prefix="cranberrymux-demo-") as folder:
        held = Story(folder).run()
    print("every expectation held" if held else "an expectation was MISSED")
    return 0 if held else 1
