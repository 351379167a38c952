"""Injects random faults, drawn by a seed, into programs and connections."""

import random
import signal
import threading
import time

from tests.soak import proxy as proxy_module

MAXIMUM_GAP_S = 0.8
DRAIN_WAIT_S = 2.0
REJOIN_WAIT_S = 3.0
ANSWER_TWICE_S = 2.0
# Times that it counts as a kind: few of the second answers meet a request that
# waits for their connection.
ANSWER_TWICE_WEIGHT = 3
SUPERVISION_PERIOD_S = 0.2
RESTART_DELAY_S = 0.5
_Fault = proxy_module.Fault


class Faults:
    """Injects faults in threads of their own, so that they overlap.

    The names of the fault methods and the order of `_kinds` are fixed: the
    names are written to `faults.txt`, and a seed draws from the order.

    Attributes:
        injected: Time in monotonic seconds, kind, target and duration in
            seconds of each injected fault.
        timed_out_terminations: Nodes that did not end in time after SIGTERM.
        unexpected_ends: Nodes that ended without a fault.
        control_ends: Time in monotonic seconds and address of each end of a
            control instance that no fault of this object caused.
    """

    def __init__(self, seed, machines, fleet):
        self.injected = []
        self.timed_out_terminations = []
        self._random = random.Random(f"faults {seed}")
        self._machines = machines
        self._fleet = fleet
        self._threads = []
        self._busy = set()
        self._is_done = False
        self.unexpected_ends = []
        self.control_ends = []
        self._lock = threading.Lock()
        self._crashed_at_s = {}
        self._kinds = (
            self.pause_node,
            self.kill_node,
            self.end_node,
            self.pause_backend,
            self.kill_backend,
            self.drain_backend,
            self.slow_backend,
            self.fail_backend,
            self.delay_link,
            self.silence_link,
            self.reset_link,
            self.pause_control,
            self.kill_control,
            self.wipe_control,
            self.fill_disk,
            *(self.answer_twice,) * ANSWER_TWICE_WEIGHT,
        )

    @property
    def machines(self):
        return list(self._machines)

    def run(self, length_s):
        until_s = time.monotonic() + length_s
        while time.monotonic() < until_s:
            kind = self._random.choice(self._kinds)
            thread = threading.Thread(
                target=self._inject, args=(kind,), daemon=True
            )
            thread.start()
            self._threads.append(thread)
            time.sleep(self._random.uniform(0.0, MAXIMUM_GAP_S))
        for thread in self._threads:
            thread.join()

    def supervise_forever(self):
        """Restarts programs that ended by themselves, as the platform does."""
        nodes = [machine.node for machine in self._machines]
        while not self._is_done:
            time.sleep(SUPERVISION_PERIOD_S)
            for instance in self._fleet.instances:
                # One that was just added is not started yet.
                is_started = instance.process is not None
                if (
                    is_started
                    and instance.process.poll() is not None
                    and self.reserve(instance)
                ):
                    self._restart_control(instance)
            for node in nodes:
                if node.has_ended_unexpectedly:
                    self.unexpected_ends.append(node.name)
                    node.start()
            for machine in self._machines:
                self._restart_crashed(machine)

    def _restart_control(self, instance):
        """Starts an instance that is reserved, if it ended by itself."""
        if instance.process.poll() is not None:
            self.control_ends.append((time.monotonic(), instance.ip))
            instance.start()
        self.release(instance)

    def _restart_crashed(self, machine):
        """Starts a backend server that crashed some time ago."""
        backend = machine.backend
        if not backend.has_ended_unexpectedly:
            self._crashed_at_s.pop(machine, None)
            return
        now_s = time.monotonic()
        crashed_s = self._crashed_at_s.setdefault(machine, now_s)
        if now_s - crashed_s > RESTART_DELAY_S and self.reserve(machine):
            if backend.has_ended_unexpectedly:
                backend.start()
            self.release(machine)

    def reserve(self, machine):
        """Keeps faults away from a machine; returns False if it has one."""
        with self._lock:
            if machine in self._busy:
                return False
            self._busy.add(machine)
            return True

    def release(self, machine):
        """Ends a reservation."""
        with self._lock:
            self._busy.discard(machine)

    def stop_supervising(self):
        self._is_done = True

    def _inject(self, kind):
        candidates = self._fleet.instances
        if not kind.__name__.endswith("control") and kind != self.fill_disk:
            candidates = self._machines
        with self._lock:
            target = self._random.choice(candidates)
            # The end of one fault would cancel another one of the same program.
            if target in self._busy:
                return
            is_control_fault = candidates is self._fleet.instances
            if is_control_fault and any(
                instance in self._busy for instance in self._fleet.instances
            ):
                return
            self._busy.add(target)
            span_s = self._random.uniform(0.1, 2.0)
        name = getattr(target, "name", getattr(target, "ip", ""))
        self.injected.append((time.monotonic(), kind.__name__, name, span_s))
        try:
            kind(target, span_s)
        finally:
            with self._lock:
                self._busy.discard(target)

    def pause_node(self, machine, span_s):
        machine.node.send(signal.SIGSTOP)
        time.sleep(span_s)
        machine.node.send(signal.SIGCONT)

    def kill_node(self, machine, span_s):
        machine.node.kill()
        time.sleep(span_s)
        machine.node.start()
        machine.node.note_fault()

    def end_node(self, machine, span_s):
        if machine.node.terminate() is None:
            self.timed_out_terminations.append(machine.node.name)
        time.sleep(span_s / 4)
        machine.node.start()
        machine.node.note_fault()

    def pause_backend(self, machine, span_s):
        machine.backend.send(signal.SIGSTOP)
        time.sleep(span_s)
        machine.backend.send(signal.SIGCONT)

    def kill_backend(self, machine, span_s):
        machine.backend.kill()
        time.sleep(span_s)
        machine.backend.start()

    def drain_backend(self, machine, span_s):
        machine.send_to_backend("drain")
        time.sleep(DRAIN_WAIT_S + span_s)
        machine.backend.kill()
        machine.backend.start()

    def slow_backend(self, machine, span_s):
        machine.send_to_backend("slowness/12")
        time.sleep(span_s)
        machine.send_to_backend("slowness/1")

    def fail_backend(self, machine, span_s):
        machine.send_to_backend("failing/0.6")
        time.sleep(span_s)
        machine.send_to_backend("failing/0")

    def answer_twice(self, machine, span_s):
        """Sends second answers, also behind failures, which are retried."""
        machine.send_to_backend("failing/0.2")
        machine.send_to_backend("stuttering/0.5")
        time.sleep(ANSWER_TWICE_S + span_s)
        machine.send_to_backend("stuttering/0")
        machine.send_to_backend("failing/0")

    def delay_link(self, machine, span_s):
        proxy = self._choose_proxy(machine)
        proxy.delay_s = 0.05
        self._hold_fault(machine, proxy, _Fault.DELAY, span_s)

    def silence_link(self, machine, span_s):
        kind = _Fault.ONE_WAY if span_s < 1.0 else _Fault.SILENCE
        self._hold_fault(machine, self._choose_proxy(machine), kind, span_s)

    def reset_link(self, machine, span_s):
        del span_s
        machine.node.note_fault()
        self._choose_proxy(machine).reset_all()

    def pause_control(self, instance, span_s):
        instance.process.send_signal(signal.SIGSTOP)
        time.sleep(span_s)
        instance.process.send_signal(signal.SIGCONT)

    def kill_control(self, instance, span_s):
        instance.kill()
        time.sleep(span_s)
        instance.start()

    def wipe_control(self, instance, span_s):
        """Restarts an instance with an empty disk, if every instance votes.

        Waits for it to rejoin, as the settings tolerate the loss of only one
        disk at a time.
        """
        if not self.do_all_disks_vote():
            return
        instance.kill()
        instance.wipe()
        time.sleep(span_s / 2)
        instance.start()
        time.sleep(REJOIN_WAIT_S)

    def do_all_disks_vote(self):
        """Returns True if each voter has its disk, under its present identity.

        A disk that was wiped votes only once its new identity has been added:
        until then, the loss of another one is more than the settings tolerate.
        """
        identities = [
            (instance.data / "identity").read_bytes()
            for instance in self._fleet.instances
            if (instance.data / "identity").exists()
        ]
        voters = [voter.encode() for voter in self._fleet.voters()]
        return len(voters) == len(self._fleet.instances) and all(
            any(identity.endswith(voter) for identity in identities)
            for voter in voters
        )

    def fill_disk(self, instance, span_s):
        marker = instance.data.parent / f"full-{instance.ip}"
        marker.touch()
        time.sleep(span_s)
        marker.unlink()

    def _choose_proxy(self, machine):
        return self._random.choice(
            (machine.client_proxy, machine.backend_proxy)
        )

    def _hold_fault(self, machine, proxy, fault, span_s):
        machine.node.note_fault()
        proxy.fault = fault
        time.sleep(span_s)
        proxy.fault = _Fault.NONE
        machine.node.note_fault()
