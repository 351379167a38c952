"""One process of a deployment."""

from collections.abc import Sequence
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any

_POLL_S = 0.02
_STOP_LIMIT_S = 40.0


class ProcessError(Exception):
    """A process did not do what was expected of it in time."""


class Process:
    """Runs a module of the package with its output in a file."""

    def __init__(
        self, name: str, module: str, arguments: Sequence[str], folder: str
    ) -> None:
        """Starts the process.

        Args:
            name: Name of the process; its log is `NAME.log`.
            module: The module to run, such as `cranberrymux.node`.
            arguments: Words of its command line.
            folder: Where the log goes.
        """
        self._name = name
        self._command = [sys.executable, "-m", module, *arguments]
        self._log_path = pathlib.Path(folder) / f"{name}.log"
        self._process = self._spawn()

    @property
    def name(self) -> str:
        """Name of the process."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """True until the process has ended."""
        return self._process.poll() is None

    def _spawn(self) -> subprocess.Popen[bytes]:
        with self._log_path.open("ab") as log:
            return subprocess.Popen(
                self._command, stdout=log, stderr=log, env=os.environ
            )

    def read_events(self) -> list[dict[str, Any]]:
        """Returns the JSON lines that the process has printed."""
        events = []
        for line in self._log_path.read_text("utf-8").splitlines():
            if line.startswith("{"):
                events.append(json.loads(line))
        return events

    def wait_for_event(self, event: str, limit_s: float = 10.0) -> None:
        """Polls the log until an event stands in it.

        Raises:
            ProcessError: The process ended, or the limit has passed.
        """
        due_s = time.monotonic() + limit_s
        while time.monotonic() < due_s:
            if any(one.get("event") == event for one in self.read_events()):
                return
            if not self.is_running:
                break
            time.sleep(_POLL_S)
        tail = self._log_path.read_text("utf-8")[-2000:]
        raise ProcessError(f"{self._name}: no {event}; its log ends: {tail}")

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.is_running:
            self._process.send_signal(number)

    def stop(self) -> int:
        """Ends the process gracefully, and by force if it takes too long."""
        self.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(_STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Ends the process at once."""
        if self.is_running:
            self._process.kill()
        return self._process.wait()

    def restart(self) -> None:
        """Starts the process again after it has ended."""
        self._process = self._spawn()
