"""Losses of power, of disks and of instances, and series of faults."""

import contextlib
import signal
import threading
import time

from tests.soak.configuration import core_faults

CATCH_UP_S = 4.0
POLL_S = 0.05
MAXIMUM_DOWN_S = 0.5
RESERVE_S = 15.0
ACKNOWLEDGEMENT_S = 3.0
MAXIMUM_DELAY_S = 0.3
MAXIMUM_GAP_S = 0.8
MAXIMUM_FAULTS = 5
MAXIMUM_PAUSE_S = 1.0


class Losses:
    """Injects faults into the control instances in one series after the other.

    Never more than one disk is lost at once: the next loss waits until the
    last one, and all other faults, are over for `CATCH_UP_S`.

    Attributes:
        injected: Time in monotonic seconds, kind, target and duration in
            seconds of each injected fault.
        late_terminations: Addresses of instances that did not end in time.
    """

    def __init__(self, core, faults, node_faults, history, spans, generator):
        """Prepares the faults.

        Args:
            core: The `core.Core`.
            faults: The `core_faults.CoreFaults`.
            node_faults: Faults of the machines, to reserve what is hit.
            history: The `history.History`, to wait for acknowledgements.
            spans: The `spans.Spans` to record disturbances.
            generator: `random.Random` to draw from.
        """
        self.injected = []
        self.late_terminations = []
        self._core = core
        self._faults = faults
        self._node_faults = node_faults
        self._history = history
        self._spans = spans
        self._random = generator
        self._phases = (
            self.run_series,
            self.run_series,
            self.kill_all,
            self.cut_power_of_core,
            self.cut_power_of_all,
            self.lose_disk,
            self.lose_disk_and_power,
            self.replace_planned,
            self.replace_unplanned,
        )
        self._final_phases = (
            self.kill_all,
            self.cut_power_of_all,
            self.lose_disk,
            self.lose_disk_and_power,
        )

    def run(self, length_s):
        """Injects series of faults, and a last one after an acknowledgement."""
        until_s = time.monotonic() + length_s
        while time.monotonic() < until_s:
            self._random.choice(self._phases)()
            time.sleep(self._random.uniform(0.0, MAXIMUM_PAUSE_S))
        self._random.choice(self._final_phases)()

    def run_series(self):
        """Injects some faults of single instances that overlap."""
        threads = []
        for _ in range(self._random.randint(2, MAXIMUM_FAULTS)):
            kind = self._random.choice(self._faults.kinds)
            instance = self._random.choice(self._core.instances)
            span_s = self._random.uniform(
                core_faults.MINIMUM_SPAN_S, core_faults.MAXIMUM_SPAN_S
            )
            thread = threading.Thread(
                target=self._inject, args=(kind, instance, span_s), daemon=True
            )
            thread.start()
            threads.append(thread)
            time.sleep(self._random.uniform(0.0, MAXIMUM_GAP_S))
        for thread in threads:
            thread.join()

    def kill_all(self):
        """Kills all instances, once or in series; they are back at once."""
        for _ in range(self._random.randint(1, 2)):
            with self._reserve(self._core.instances) as instances:
                self._wait_for_acknowledgement()
                self._note("kill_all", "core")
                with self._spans.disturb(*self._core.ips):
                    self._core.kill(instances)
                    time.sleep(self._random.uniform(0.0, MAXIMUM_DOWN_S))
                    self._core.start_all(instances, self._random)

    def cut_power_of_core(self):
        """Cuts the power of all control instances."""
        self._cut_power("cut_power_of_core", has_nodes=False)

    def cut_power_of_all(self):
        """Cuts the power of all control instances and all nodes."""
        self._cut_power("cut_power_of_all", has_nodes=True)

    def lose_disk(self):
        """Loses the disk of one instance; the others keep running."""
        if self._wait_for_catch_up():
            self._lose_one_disk()

    def _lose_one_disk(self):
        lost = self._random.choice(self._core.instances)
        with self._reserve([lost]):
            self._wait_for_acknowledgement()
            self._note("lose_disk", lost.ip)
            with self._spans.disturb(lost.ip):
                self._core.kill([lost])
                self._core.wipe(lost)
                time.sleep(self._random.uniform(0.0, 2 * MAXIMUM_DOWN_S))
                self._core.start(lost)

    def lose_disk_and_power(self):
        """Loses a disk while the others, at times with nodes, lose power."""
        if not self._wait_for_catch_up():
            return
        lost = self._random.choice(self._core.instances)
        self._cut_power(
            "lose_disk_and_power", self._random.random() < 0.6, lost
        )

    def replace_planned(self):
        """Starts a new instance first; then another loses its disk, at times.

        An instance that was removed does not count once its successor had
        `CATCH_UP_S`.
        """
        if not self._wait_for_catch_up():
            return
        old = self._random.choice(self._core.instances)
        with self._reserve([old]):
            added = self._core.add()
            time.sleep(self._random.uniform(0.0, 2 * CATCH_UP_S))
            self._note("replace_planned", f"{old.ip} by {added.ip}")
            self._end(old)
        if not self._is_calm_for_catch_up({added.ip}):
            return
        if self._random.random() < 0.5:
            time.sleep(self._random.uniform(0.0, CATCH_UP_S))
            self._lose_one_disk()

    def replace_unplanned(self):
        """Ends an instance for good; a new one starts some time later."""
        if not self._wait_for_catch_up():
            return
        old = self._random.choice(self._core.instances)
        with self._reserve([old]):
            self._wait_for_acknowledgement()
            self._note("replace_unplanned", old.ip)
            self._end(old)
            time.sleep(self._random.uniform(0.0, core_faults.MAXIMUM_SPAN_S))
            self._core.add()

    def _end(self, instance):
        with self._spans.disturb(instance.ip):
            if self._random.random() < 0.5:
                instance.process.send_signal(signal.SIGTERM)
                try:
                    core_faults.wait_for_end(instance)
                except TimeoutError:
                    self.late_terminations.append(instance.ip)
            instance.kill()
            self._core.remove(instance)

    def _cut_power(self, name, has_nodes, lost=None):
        machines = self._node_faults.machines if has_nodes else []
        with (
            self._reserve(self._core.instances) as instances,
            self._reserve(machines) as machines,
        ):
            self._wait_for_acknowledgement()
            self._note(name, lost.ip if lost else "core")
            with self._spans.disturb(*self._core.ips):
                for machine in machines:
                    machine.node.kill()
                self._core.cut_power(instances, self._random, lost)
                time.sleep(self._random.uniform(0.0, MAXIMUM_DOWN_S))
                self._start_all(instances, machines)

    def _start_all(self, instances, machines):
        """Starts instances and nodes side by side."""
        thread = threading.Thread(
            target=self._core.start_all,
            args=(instances, self._random),
            daemon=True,
        )
        thread.start()
        for machine in machines:
            machine.node.start()
            machine.node.note_fault()
        thread.join()

    def _inject(self, kind, instance, span_s):
        if not self._node_faults.reserve(instance):
            return
        self._note(kind.__name__, instance.ip, span_s)
        try:
            kind(instance, span_s)
        finally:
            self._node_faults.release(instance)

    @contextlib.contextmanager
    def _reserve(self, targets):
        """Keeps other faults away; yields those that were free in time."""
        until_s = time.monotonic() + RESERVE_S
        reserved = []
        for target in targets:
            while not self._node_faults.reserve(target):
                if time.monotonic() > until_s:
                    break
                time.sleep(POLL_S)
            else:
                reserved.append(target)
        try:
            yield reserved
        finally:
            for target in reserved:
                self._node_faults.release(target)

    def _wait_for_acknowledgement(self):
        self._history.wait_for_acknowledgement(ACKNOWLEDGEMENT_S)
        if self._random.random() < 0.5:
            time.sleep(self._random.uniform(0.0, MAXIMUM_DELAY_S))

    def _wait_for_catch_up(self):
        """Waits until a disk may be lost; returns False if not all vote."""
        while not self._is_calm_for_catch_up(self._core.list_targets()):
            time.sleep(POLL_S)
        if self._node_faults.do_all_disks_vote():
            return True
        self._note("not_all_disks_vote", "core")
        return False

    def _is_calm_for_catch_up(self, targets):
        calm_since_s = self._spans.get_calm_since_s(targets)
        return calm_since_s + CATCH_UP_S < time.monotonic()

    def _note(self, kind, target, span_s=0.0):
        self.injected.append((time.monotonic(), kind, target, span_s))
