"""A child process of a deployment with a log file."""

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
    """A process of a deployment ended or missed a time limit."""


class Process:
    """Runs a Python module as a child process, with its output in a file."""

    def __init__(
        self, name: str, module: str, arguments: Sequence[str], folder: str
    ) -> None:
        """Starts the process.

        Args:
            name: Name of the process and, with `.log`, of its log file.
            module: Module to run, such as `cranberrymux.node`.
            arguments: Command-line arguments.
            folder: Folder of the log file.
        """
        self._name = name
        self._command = [sys.executable, "-m", module, *arguments]
        self._log_path = pathlib.Path(folder) / f"{name}.log"
        self._process = self._spawn()

    @property
    def name(self) -> str:
        """Name of the process and of its log file without extension."""
        return self._name

    @property
    def pid(self) -> int:
        """Process id of the last start."""
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
        """Returns the JSON objects that the process has logged.

        Includes those from before a restart; lines that do not begin with a
        brace are skipped.
        """
        events = []
        for line in self._log_path.read_text("utf-8").splitlines():
            if line.startswith("{"):
                events.append(json.loads(line))
        return events

    def wait_for_event(self, event: str, limit_s: float = 10.0) -> None:
        """Polls the log until it contains an event.

        Args:
            event: Value of `event` in a logged JSON object.
            limit_s: Seconds after which the wait fails.

        Raises:
            ProcessError: The process ended or did not log the event in time.
        """
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            if any(line.get("event") == event for line in self.read_events()):
                return
            if not self.is_running:
                break
            time.sleep(_POLL_S)
        tail = self._log_path.read_text("utf-8")[-2000:]
        raise ProcessError(
            f"{self._name}: event {event} not logged; end of the log: {tail}"
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process; does nothing if it has ended."""
        if self.is_running:
            self._process.send_signal(number)

    def stop(self) -> int:
        """Sends SIGTERM, and SIGKILL if the process runs on for 40 s.

        Returns:
            The exit code; minus the signal number if a signal ended it.
        """
        self.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(_STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Sends SIGKILL if the process still runs.

        Returns:
            The exit code; minus the signal number if a signal ended it.
        """
        if self.is_running:
            self._process.kill()
        return self._process.wait()

    def restart(self) -> None:
        """Starts the process again, after it has ended; appends to its log."""
        self._process = self._spawn()
