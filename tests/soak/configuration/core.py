"""The control instances of one run, and what can be done to all of them."""

import os
import pathlib
import socket
import threading
import time

from tests.soak.configuration import markers as markers_module
from tests.soak.configuration import power_loss

SEED_LAG_S = 3.0
SEEDS = 3
MAXIMUM_START_GAP_S = 0.3
START_POLL_S = 0.05
# Processor time, not time on the clock: on a busy machine each start is late.
MAXIMUM_START_S = 1.0


class Core:
    """Control instances that may be replaced by others at new addresses.

    Attributes:
        listed: The operator's list of instances, which lags by `SEED_LAG_S`.
        ips: Addresses of all that ever ran.
    """

    def __init__(self, fleet, machines, spans):
        self.listed = list(fleet.instances)
        self.ips = [instance.ip for instance in fleet.instances]
        self._fleet = fleet
        self._machines = machines
        self._spans = spans

    @property
    def instances(self):
        """The instances that belong to the system now."""
        return list(self._fleet.instances)

    def list_targets(self):
        """Returns the names of all instances and of their disks."""
        return {*self.ips, *map(get_disk_name, self.ips)}

    def cut_power(self, instances, generator, lost=None):
        """Kills instances at once; unsynced writes are gone.

        Args:
            instances: The instances.
            generator: `random.Random` that draws what survives.
            lost: The one of them whose disk is lost; None for none.
        """
        self.kill(instances)
        for instance in instances:
            if instance is lost:
                self.wipe(instance)
            else:
                power_loss.apply(
                    get_markers(instance), instance.data, generator
                )

    def kill(self, instances):
        """Kills instances at the same moment."""
        for instance in instances:
            if instance.process.poll() is None:
                instance.process.kill()
        for instance in instances:
            instance.kill()

    def wipe(self, instance):
        """Replaces the disk of an instance that was killed by an empty one."""
        if instance.data.exists():
            instance.wipe()
        power_loss.forget(get_markers(instance))

    def start_all(self, instances, generator):
        """Starts instances one after the other, in any order."""
        for instance in generator.sample(instances, len(instances)):
            self.start(instance)
            time.sleep(generator.uniform(0.0, MAXIMUM_START_GAP_S))

    def start(self, instance):
        """Starts an instance; it counts as disturbed until it listens."""
        instance.start()
        self.watch_start(instance)

    def watch_start(self, instance):
        """Records a disturbance until an instance that was started listens."""
        threading.Thread(
            target=self._wait_until_started, args=(instance,), daemon=True
        ).start()

    def add(self):
        """Starts an instance at a new address, with an empty disk."""
        added = self._fleet.add(len(self.ips) + 1)
        self.ips.append(added.ip)
        self.start(added)
        return added

    def _wait_until_started(self, instance):
        address = (instance.ip, self._fleet.control_port)
        process = instance.process
        with self._spans.disturb(instance.ip):
            while process.poll() is None and not _is_listening(address):
                if _get_processor_s(process.pid) > MAXIMUM_START_S:
                    return
                time.sleep(START_POLL_S)

    def remove(self, instance):
        """Takes an ended instance out; the others learn it with a delay."""
        remaining = [
            other for other in self._fleet.instances if other is not instance
        ]
        self._fleet.instances = remaining
        threading.Timer(SEED_LAG_S, self._tell).start()

    def _tell(self):
        """Writes the present instances into the settings of all."""
        self.listed = self.instances
        self._fleet.seeds = [
            f"{instance.ip}:{self._fleet.control_port}"
            for instance in self.listed[-SEEDS:]
        ]
        for instance in self.listed:
            instance.write_settings()
        for machine in self._machines:
            machine.write_settings()


def get_markers(instance):
    """Returns the markers of a control instance."""
    return markers_module.Markers(instance.settings)


def get_disk_name(ip):
    """Returns the name under which faults of a disk are recorded."""
    return f"disk {ip}"


def _is_listening(address):
    try:
        socket.create_connection(address, START_POLL_S).close()
    except OSError:
        return False
    return True


def _get_processor_s(process_id):
    """Returns the processor time of a process; 0 once it has ended."""
    try:
        text = pathlib.Path(f"/proc/{process_id}/stat").read_text()
    except OSError:
        return 0.0
    user, system = text.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
