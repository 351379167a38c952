"""An operator thread that changes the configuration and checks reads."""

import json
import threading
import time

from tests.platform import fleet as fleet_module
from tests.soak import accounts

PAUSE_S = 0.7
MAXIMUM_APPLY_S = 2.0


class Operator(threading.Thread):
    """Submits one version after the other, each until it is accepted.

    Attributes:
        should_stop: Set to True to stop the thread.
        violations: Messages about rejected changes and versions that went back.
        acknowledged: Last accepted version, and the monotonic time of its
            acceptance in seconds.
        timeline: All versions.
    """

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.should_stop = False
        self.violations = []
        self.acknowledged = (0, 0.0)
        self._fleet = fleet
        self.timeline = accounts.Timeline()

    def configuration(self, version):
        """Encodes the routes of the soak and the accounts of a version.

        The first three need no key, as backend servers call the third. The
        others are for clients with a key.
        """
        values = json.loads(fleet_module.configuration(version))
        first, second = values["routes"]["rows"]
        third = list(first)
        third[0], third[2], third[9] = "r3", "/c/", "s2"
        second[7], second[9] = None, "s1"
        fourth, fifth = list(first), list(third)
        fourth[0], fourth[2] = "r4", "/d/"
        fifth[0], fifth[2] = "r5", "/e/"
        public = [[*row, True] for row in (first, second, third)]
        keyed = [[*row, False] for row in (fourth, fifth)]
        values["routes"]["columns"].append("public")
        values["routes"]["rows"] = public + keyed
        values["tenants"] = accounts.make_table(version)
        return json.dumps(values).encode()

    def run(self):
        base_version = 0
        while not self.should_stop:
            version = base_version + 2
            self.timeline.note_sent(version)
            if not self._put(version, base_version):
                return
            base_version = version
            self.acknowledged = (version, time.monotonic())
            self.timeline.note_acknowledged(version)
            time.sleep(PAUSE_S)
            self._read()

    def poll_newest_version(self, until_s):
        """Polls for the newest version that any control instance answers with.

        Returns:
            The version, or 0 if none has answered until `until_s`, monotonic
            seconds.
        """
        while time.monotonic() < until_s:
            told = [instance.get() for instance in self._fleet.instances]
            if any(told):
                return max(
                    version_told for version_told in told if version_told
                )
            time.sleep(0.2)
        return 0

    def _put(self, version, base_version):
        body = self.configuration(version)
        while not self.should_stop:
            for instance in self._fleet.instances:
                status = instance.put(version, base_version, body=body)
                if status == 200:
                    return True
                if status not in (0, 307, 503):
                    self.violations.append(
                        f"version {version}: status {status}"
                    )
                    return False
            time.sleep(0.1)
        return False

    def _read(self):
        version, acknowledged_at_s = self.acknowledged
        for instance in self._fleet.instances:
            requested_at_s = time.monotonic()
            told = instance.get()
            if (
                told
                and told < version
                and requested_at_s > acknowledged_at_s + MAXIMUM_APPLY_S
            ):
                self.violations.append(
                    f"{instance.ip} tells {told} after {version}"
                )
