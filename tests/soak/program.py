"""A program of the soak test, signalled only by its own process id."""

import os
import signal
import subprocess
import sys
import time

TERMINATION_TIMEOUT_S = 8.0


class Program:
    """A program that can be started repeatedly, one process at a time.

    Attributes:
        name: Name for messages.
        fault_times_s: Times of the faults that affect it, monotonic seconds.
        signal_times_s: Those at which it got a signal.
        start_times_s: Times of its starts.
        stop_times_s: Times at which it was killed or told to end.
    """

    def __init__(self, name, arguments, log, environment=None):
        self.name = name
        self._arguments = arguments
        self._log = log
        self._environment = environment or {}
        self._process = None
        self._is_wanted = False
        self._is_closed = False
        self.fault_times_s = []
        self.signal_times_s = []
        self.start_times_s = []
        self.stop_times_s = []

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self):
        """Id of the present process, or of the last one."""
        return self._process.pid

    @property
    def has_ended_unexpectedly(self):
        """True if it ended after its start without `kill` or `terminate`."""
        return self._is_wanted and not self.is_running

    def start(self, **environment):
        """Starts the program, unless it is closed."""
        if self._is_closed:
            return
        self._environment.update(environment)
        self.start_times_s.append(time.monotonic())
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, **self._environment},
            )
        self._is_wanted = True

    def send(self, signal_number):
        """Sends a signal, if it runs, and notes the time as that of a fault."""
        self.note_fault()
        self.signal_times_s.append(self.fault_times_s[-1])
        if self.is_running:
            self._process.send_signal(signal_number)

    def kill(self):
        self._is_wanted = False
        self.stop_times_s.append(time.monotonic())
        self.send(signal.SIGCONT)
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def close(self):
        """Kills it for good, even if a fault would start it again."""
        self._is_closed = True
        self.kill()

    def terminate(self):
        """Sends SIGTERM and waits; kills it after `TERMINATION_TIMEOUT_S`.

        Returns:
            The seconds until it ended, or None if it had to be killed.
        """
        self._is_wanted = False
        started_at_s = time.monotonic()
        self.stop_times_s.append(started_at_s)
        self.send(signal.SIGTERM)
        try:
            self._process.wait(TERMINATION_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        return time.monotonic() - started_at_s

    def note_fault(self):
        self.fault_times_s.append(time.monotonic())
