"""Detects when the process of the clients and proxies was not scheduled."""

import threading
import time

SLEEP_S = 0.05
MINIMUM_STALL_S = 0.3


class StallWatch(threading.Thread):
    """Thread that sleeps for short times and records those that took longer.

    Clients and proxies share one process: while it gets no processor time, no
    request is answered, whatever the programs do.

    Attributes:
        should_stop: Set to True to stop the thread.
        stalls: Begin and end of each stall, monotonic seconds.
    """

    def __init__(self):
        super().__init__(daemon=True)
        self.should_stop = False
        self.stalls = []

    def run(self):
        last_s = time.monotonic()
        while not self.should_stop:
            time.sleep(SLEEP_S)
            now_s = time.monotonic()
            if now_s - last_s > SLEEP_S + MINIMUM_STALL_S:
                self.stalls.append((last_s, now_s))
            last_s = now_s

    @property
    def longest_s(self):
        return max((end - begin for begin, end in self.stalls), default=0.0)

    def overlaps(self, begin_s, end_s):
        """True if a stall overlaps the given time span."""
        return any(
            begin <= end_s and end >= begin_s for begin, end in self.stalls
        )
