"""Tells when the process that holds clients and proxies was itself stopped."""

import threading
import time

STEP_S = 0.05
LATE_S = 0.3


class StallWatch(threading.Thread):
    """Sleeps short times and notes those that took long.

    Clients and proxies share one process; while it gets no processor time,
    nothing passes, whatever the programs do.
    """

    def __init__(self):
        super().__init__(daemon=True)
        self.is_done = False
        # Begin and end of each stall; monotonic seconds.
        self.stalls = []

    def run(self):
        last_s = time.monotonic()
        while not self.is_done:
            time.sleep(STEP_S)
            now_s = time.monotonic()
            if now_s - last_s > STEP_S + LATE_S:
                self.stalls.append((last_s, now_s))
            last_s = now_s

    @property
    def longest_s(self):
        return max((end - begin for begin, end in self.stalls), default=0.0)

    def overlaps(self, begin_s, end_s):
        return any(
            begin <= end_s and end >= begin_s for begin, end in self.stalls
        )
