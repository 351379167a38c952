"""One process of the soak, ended only by its own id."""

import os
import signal
import subprocess
import sys
import time

REAP_S = 8.0


class Program:
    """A program that is started again and again."""

    def __init__(self, name, arguments, log, environment=None):
        self.name = name
        self._arguments = arguments
        self._log = log
        self._environment = environment or {}
        self._process = None
        self._is_wanted = False
        # Spans of time in which somebody ill-treated it; monotonic seconds.
        self.ill_from_s = []

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    @property
    def has_ended_itself(self):
        return self._is_wanted and not self.is_running

    def start(self, **environment):
        self._environment.update(environment)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdout=log,
                stderr=log,
                env={**os.environ, **self._environment},
            )
        self._is_wanted = True

    def send(self, number):
        self.note_ill()
        if self.is_running:
            self._process.send_signal(number)

    def kill(self):
        self._is_wanted = False
        self.send(signal.SIGCONT)
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def end(self):
        """Ends it in order; returns the seconds that took, None if too long."""
        self._is_wanted = False
        began_s = time.monotonic()
        self.send(signal.SIGTERM)
        try:
            self._process.wait(REAP_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        return time.monotonic() - began_s

    def note_ill(self):
        self.ill_from_s.append(time.monotonic())
