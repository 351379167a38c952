"""Faults of single control instances, which overlap with each other."""

import contextlib
import signal
import time

from tests.soak.configuration import core as core_module
from tests.soak.configuration import disk_faults

MAXIMUM_CLOCK_STEP_S = 20.0
SIGNALS = 3
SIGNAL_GAP_S = 0.2
TERMINATION_TIMEOUT_S = 8.0
MINIMUM_SPAN_S = 0.2
MAXIMUM_SPAN_S = 3.0
# Pauses and cuts last longer: long enough for a change in the meantime, and
# for reads and requests that come later than it may take effect.
LONG_FACTOR = 3


class CoreFaults:
    """Disturbs one instance, or the links between some, for some time.

    Each method takes the instance and the usual duration in seconds.

    Attributes:
        kinds: The methods, to draw from.
    """

    def __init__(self, core, links, spans, machines, generator):
        """Prepares the faults.

        Args:
            core: The `core.Core`.
            links: The `links.Links` of all processes.
            spans: The `spans.Spans` to record disturbances.
            machines: The machines of the nodes.
            generator: `random.Random` to draw from.
        """
        self._core = core
        self._links = links
        self._spans = spans
        self._machines = machines
        self._random = generator
        self.kinds = (
            self.pause,
            self.kill,
            self.terminate,
            self.hang_up,
            self.step_clock,
            self.stall_disk,
            self.fill_disk,
            self.cut_off,
            self.cut_one_way,
            self.cut_in_halves,
            self.cut_from_node,
        )

    def pause(self, instance, span_s):
        with self._spans.disturb(instance.ip):
            instance.process.send_signal(signal.SIGSTOP)
            time.sleep(LONG_FACTOR * span_s)
            instance.process.send_signal(signal.SIGCONT)

    def kill(self, instance, span_s):
        with self._spans.disturb(instance.ip):
            instance.kill()
            time.sleep(span_s)
            self._core.start(instance)

    def terminate(self, instance, span_s):
        with self._spans.disturb(instance.ip):
            for _ in range(self._random.randint(1, SIGNALS)):
                instance.process.send_signal(signal.SIGTERM)
                time.sleep(SIGNAL_GAP_S)
            with contextlib.suppress(TimeoutError):
                wait_for_end(instance)
            instance.kill()
            time.sleep(span_s / 4)
            self._core.start(instance)

    def hang_up(self, instance, span_s):
        del span_s
        with self._spans.disturb(instance.ip):
            instance.write_settings()
            for _ in range(SIGNALS):
                instance.process.send_signal(signal.SIGHUP)
                time.sleep(SIGNAL_GAP_S)

    def step_clock(self, instance, span_s):
        step_s = self._random.uniform(
            -MAXIMUM_CLOCK_STEP_S, MAXIMUM_CLOCK_STEP_S
        )
        with self._spans.disturb(instance.ip):
            markers = core_module.get_markers(instance)
            markers.write(disk_faults.CLOCK, str(step_s))
            time.sleep(span_s)
            markers.clear(disk_faults.CLOCK)

    def stall_disk(self, instance, span_s):
        self._mark_disk(instance, disk_faults.STALLED, span_s)

    def fill_disk(self, instance, span_s):
        self._mark_disk(instance, disk_faults.FULL, span_s)

    def cut_off(self, instance, span_s):
        """Cuts one instance off from the others."""
        self._cut([instance], span_s, is_one_way=False)

    def cut_one_way(self, instance, span_s):
        """Lets one instance hear nothing, while the others hear it."""
        self._cut([instance], span_s, is_one_way=True)

    def cut_in_halves(self, instance, span_s):
        """Cuts the instances into two halves."""
        del instance
        instances = self._core.instances
        half = self._random.sample(instances, len(instances) // 2)
        self._cut(half, span_s, is_one_way=False)

    def cut_from_node(self, instance, span_s):
        """Cuts a node off from all control instances."""
        del instance
        machine = self._random.choice(self._machines)
        nodes = [machine.settings]
        instances = self._core.instances
        settings = [other.settings for other in instances]
        with (
            self._spans.disturb(machine.name),
            self._links.cut(nodes, [other.ip for other in instances]),
            contextlib.ExitStack() as stack,
        ):
            if self._random.random() < 0.5:
                stack.enter_context(self._links.cut(settings, [machine.ip]))
            time.sleep(LONG_FACTOR * span_s)

    def _cut(self, part, span_s, is_one_way):
        instances = self._core.instances
        others = [other for other in instances if other not in part]
        with (
            self._spans.disturb(*(each.ip for each in instances)),
            self._links.cut(
                [each.settings for each in part], [each.ip for each in others]
            ),
            contextlib.ExitStack() as stack,
        ):
            if not is_one_way:
                stack.enter_context(
                    self._links.cut(
                        [each.settings for each in others],
                        [each.ip for each in part],
                    )
                )
            time.sleep(LONG_FACTOR * span_s)

    def _mark_disk(self, instance, kind, span_s):
        # A disk that hangs destabilizes no link: the others go on in time.
        with self._spans.disturb(core_module.get_disk_name(instance.ip)):
            markers = core_module.get_markers(instance)
            markers.write(kind)
            time.sleep(span_s)
            markers.clear(kind)


def wait_for_end(instance):
    """Waits until an instance has ended; raises `TimeoutError` otherwise."""
    until_s = time.monotonic() + TERMINATION_TIMEOUT_S
    while instance.process.poll() is None:
        if time.monotonic() > until_s:
            raise TimeoutError(f"{instance.ip} did not end")
        time.sleep(0.05)
