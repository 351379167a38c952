"""Control instances with the platform's settings, as processes on loopback."""

import json
import os
import shutil
import signal
import subprocess
import sys
import urllib.error
import urllib.request

from cranberrymux.demo import ports
from tests.control import cluster
from tests.platform import files
from tests.platform import flood

_NEXT_NET = iter(range(10, 250))


FORMING_S = 15.0


def wait_until(check):
    """Polls a condition for up to `FORMING_S`, the time to form a cluster."""
    return cluster.wait_until(check, FORMING_S)


class Instance:
    """One control instance: its process, settings, data folder and log."""

    def __init__(self, fleet, ip, is_first_start=True):
        self.fleet = fleet
        self.ip = ip
        self.is_first_start = is_first_start
        self.process = None
        self.settings = fleet.folder / f"{ip}.toml"
        self.data = fleet.folder / f"data-{ip}"
        self.log = fleet.folder / f"{ip}.log"

    def write_settings(self):
        """Writes the settings file with the seeds of now."""
        fleet = self.fleet
        files.write_at_once(
            self.settings,
            f'[self]\nnode = "core-{self.ip}"\nip = "{self.ip}"\n'
            f'zone = "a"\nregion = "r"\ndata_dir = "{self.data}"\n'
            f"bootstrap = {json.dumps(self.is_first_start)}\n"
            f"[network]\ninternal_ports = [{fleet.port}, {fleet.port}]\n"
            f"seeds = {json.dumps(fleet.seeds)}\n"
            f'[network.listen]\ncontrol = "{self.ip}:{fleet.control_port}"\n'
            "[terms.fault_tolerance]\nmachines = 1\n",
        )

    def start(self):
        """Starts the process, unless the fleet has ended."""
        fleet = self.fleet
        if fleet.has_ended:
            return
        self.write_settings()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    f"{fleet.mutant}\nimport sys\n"
                    "from cranberrymux.platform import control_main\n"
                    "sys.exit(control_main.main())\n",
                ],
                stdout=log,
                stderr=log,
                env={**os.environ, "CRANBERRYMUX_SETTINGS": str(self.settings)},
            )
        self.is_first_start = False

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def restart(self):
        """Starts again, killed if it runs; returns once it listens."""
        self.kill()
        expected = self._count_ready() + 1
        self.start()
        wait_until(lambda: self._count_ready() == expected)

    def _count_ready(self):
        return sum(event["event"] == "control-ready" for event in self.events())

    def wipe(self):
        shutil.rmtree(self.data)

    def peak_mb(self):
        """Returns the largest resident memory since the start, MB."""
        return flood.read_peak_mb(self.process.pid)

    def events(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def call(self, method, path, body=None, headers=None, timeout_s=4.0):
        """Returns status and body of the answer; (0, b"") without one."""
        request = urllib.request.Request(
            f"http://{self.ip}:{self.fleet.control_port}{path}",
            method=method,
            data=body,
            headers=headers or {},
        )
        opener = urllib.request.build_opener(_NoRedirect)
        try:
            with opener.open(request, timeout=timeout_s) as response:
                return response.status, response.read()
        except urllib.error.HTTPError as error:
            return error.code, error.read()
        except OSError:
            return 0, b""

    def put(self, version, base, service="s1", body=None):
        """Sends a configuration built on version `base`; returns the status."""
        if body is None:
            body = configuration(version, service)
        status, _ = self.call(
            "PUT", "/cranberrymux/config", body, {"If-Match": str(base)}
        )
        return status

    def get(self):
        """Returns the version in force; None if the instance refuses."""
        status, body = self.call("GET", "/cranberrymux/config")
        return json.loads(body)["version"] if status == 200 else None


class _NoRedirect(urllib.request.HTTPRedirectHandler):
    def redirect_request(self, *_):
        return None


def configuration(version, service="s1", **changes):
    """Encodes a configuration of two routes; `changes` replace top keys."""
    values = {
        "version": version,
        "routes": {
            "columns": [
                "name",
                "host",
                "path_prefix",
                "kind",
                "timeout",
                "slo",
                "priority",
                "split",
                "attempts",
                "service",
            ],
            "rows": [
                [
                    "r1",
                    "h.example",
                    "/a/",
                    "safe",
                    "800ms",
                    "1.5s",
                    2,
                    None,
                    2,
                    service,
                ],
                [
                    "r2",
                    "h.example",
                    "/b/",
                    "unsafe",
                    "1s",
                    "1500ms",
                    0,
                    [
                        {"service": "s1", "weight": 90},
                        {"service": "s2", "weight": 10},
                    ],
                    2,
                    None,
                ],
            ],
        },
        "services": {
            "columns": ["name", "health", "max_conns", "protocol", "tls"],
            "rows": [
                ["s1", "/health", 436, "h1", False],
                ["s2", "/health", 190, "h1", False],
            ],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    values.update(changes)
    return json.dumps(values).encode()


class Fleet:
    """Control instances with addresses of their own in 127/8.

    `mutant` is Python code that each instance runs before it starts, to disable
    the mechanism under test.
    """

    def __init__(self, folder, count=3, mutant=""):
        self.folder = folder
        self.mutant = mutant
        self.has_ended = False
        self.port, self.control_port = ports.find_free_ports(2)
        self.net = f"127.0.{next(_NEXT_NET)}"
        self.instances = [
            Instance(self, f"{self.net}.{index + 1}") for index in range(count)
        ]
        self.seeds = [
            f"{instance.ip}:{self.control_port}"
            for instance in self.instances[:3]
        ]

    def add(self, last):
        """Adds an instance that was absent at the first start of the system."""
        added = Instance(self, f"{self.net}.{last}", is_first_start=False)
        self.instances.append(added)
        return added

    def put_until_accepted(self, version, base, among=None, service="s1"):
        chosen = among or self.instances

        def attempt():
            return any(
                instance.put(version, base, service) == 200
                for instance in chosen
            )

        wait_until(attempt)

    def agreed_voters(self, instances):
        """Returns the voters if all of these know the same, else nobody."""
        known = set()
        for instance in instances:
            changes = [
                frozenset(event["voters"])
                for event in instance.events()
                if event["event"] == "members-changed"
            ]
            known.add(changes[-1] if changes else frozenset())
        return known.pop() if len(known) == 1 else frozenset()

    def voters(self):
        """Returns the voters of the newest `members-changed` event."""
        changes = [
            (event["time"], event["voters"])
            for instance in self.instances
            for event in instance.events()
            if event["event"] == "members-changed"
        ]
        return set(max(changes)[1]) if changes else set()

    def __enter__(self):
        for instance in self.instances:
            instance.start()
        return self

    def __exit__(self, *_):
        self.has_ended = True
        for instance in self.instances:
            instance.kill()
