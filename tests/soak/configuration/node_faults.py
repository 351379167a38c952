"""Faults of nodes, backend servers and their links."""

import signal
import time

from tests.soak import faults as faults_module

SIGNALS = 3
SIGNAL_GAP_S = 0.2
START_S = 1.0


class NodeFaults(faults_module.Faults):
    """Draws faults of machines only, and signals that come in series."""

    def __init__(self, seed, machines, fleet):
        super().__init__(seed, machines, fleet)
        self._kinds = (
            self.pause_node,
            self.kill_node,
            self.end_node,
            self.end_node_repeatedly,
            self.hang_up_node,
            self.pause_backend,
            self.kill_backend,
            self.drain_backend,
            self.delay_link,
            self.silence_link,
            self.reset_link,
        )

    def end_node_repeatedly(self, machine, span_s):
        for _ in range(SIGNALS):
            self.end_node(machine, span_s / SIGNALS)

    def hang_up_node(self, machine, span_s):
        """Sends SIGHUP in series, but not to a node that is starting."""
        del span_s
        if time.monotonic() - machine.node.start_times_s[-1] < START_S:
            return
        machine.write_settings()
        for _ in range(SIGNALS):
            machine.node.send(signal.SIGHUP)
            time.sleep(SIGNAL_GAP_S)
