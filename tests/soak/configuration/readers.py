"""Threads that read the configuration from each control instance."""

import threading
import time

from tests.soak.configuration import calls
from tests.soak.configuration import history as history_module

PERIOD_S = 0.15


class Readers:
    """Reads from all instances of a list, which may change, until stopped.

    Attributes:
        reads: The answers with a configuration.
    """

    def __init__(self, get_instances):
        self.reads = []
        self._get_instances = get_instances
        self._threads = {}
        self._should_stop = threading.Event()
        self._starter = threading.Thread(
            target=self._start_forever, daemon=True
        )

    def start(self):
        self._starter.start()

    def stop(self):
        """Ends the threads."""
        self._should_stop.set()
        self._starter.join()
        for thread in self._threads.values():
            thread.join()

    def _start_forever(self):
        while not self._should_stop.wait(PERIOD_S):
            for instance in self._get_instances():
                if instance not in self._threads:
                    self._threads[instance] = threading.Thread(
                        target=self._read_forever, args=(instance,), daemon=True
                    )
                    self._threads[instance].start()

    def _read_forever(self, instance):
        while not self._should_stop.wait(PERIOD_S):
            sent_s = time.monotonic()
            status, body = instance.call(
                "GET", calls.PATH, timeout_s=calls.ANSWER_TIMEOUT_S
            )
            if status != 200:
                continue
            version, digest = history_module.decode(body)
            self.reads.append(
                history_module.Read(
                    instance.ip, sent_s, time.monotonic(), version, digest
                )
            )
