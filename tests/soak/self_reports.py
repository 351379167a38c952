"""Has backend servers name rate limits and say that they are leaving.

Runs beside the faults, so that the nodes beside these backend servers restart,
freeze and are cut meanwhile.
"""

import random
import threading

from tests.soak import clients
from tests.soak import faults as faults_module

LIMITS_PER_S = (2.0, 4.0, 8.0, 15.0)
# A limit is checked from 3 s on, over 4 s.
MINIMUM_SPAN_S = 5.0
MAXIMUM_SPAN_S = 8.0
LEAVING_SHARE = 0.3
LEAVING_SPAN_S = faults_module.DRAIN_WAIT_S + 1.5


class SelfReports(threading.Thread):
    """Changes what one backend server after the other says of itself.

    Attributes:
        should_stop: Set to True to stop the thread.
    """

    def __init__(self, seed, machines, faults):
        super().__init__(daemon=True)
        self.should_stop = False
        self._random = random.Random(f"self-reports {seed}")
        self._machines = machines
        self._faults = faults

    def run(self):
        while not self.should_stop:
            machine = self._random.choice(self._machines)
            if self._random.random() < LEAVING_SHARE:
                self._leave(machine)
            else:
                self._limit(machine)

    def _limit(self, machine):
        """Names a limit, another one, and none."""
        for _ in range(self._random.choice((1, 2))):
            per_s = self._random.choice(LIMITS_PER_S)
            machine.send_to_backend(f"limit/{per_s}")
            span_s = self._random.uniform(MINIMUM_SPAN_S, MAXIMUM_SPAN_S)
            clients.sleep_until_stopped(self, span_s)
        machine.send_to_backend("limit/0")

    def _leave(self, machine):
        """Says so while announcements say the contrary, and ends."""
        if not self._faults.reserve(machine):
            clients.sleep_until_stopped(self, 0.1)
            return
        machine.send_to_backend("leave")
        clients.sleep_until_stopped(self, LEAVING_SPAN_S)
        machine.backend.kill()
        machine.backend.start()
        self._faults.release(machine)
