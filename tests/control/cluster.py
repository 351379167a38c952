"""Control instances as processes on loopback, with an operator client."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

from cranberrymux.demo import ports
from tests.control import relay as relay_module

CLUSTER_KEY = "cluster-key-for-tests"
OPERATOR_TOKEN = "operator-token-for-tests"
_RUN = (
    "import sys\nfrom cranberrymux.control import main\nsys.exit(main.main())\n"
)
DOCUMENT = "classes:\n  - name: live\n    protected: true\n  - name: bulk\n"


def wait_until(check, timeout_s=10.0):
    """Polls a condition; returns its first true value or times out."""
    end = time.monotonic() + timeout_s
    while True:
        found = check()
        if found:
            return found
        assert time.monotonic() < end, f"not reached in {timeout_s} s"
        time.sleep(0.01)


class Answer:
    """HTTP answer of an operator request, its JSON body decoded."""

    def __init__(self, status, body, headers):
        self.status = status
        self.body = body
        self.headers = headers


class Instance:
    """One control instance: its process, settings, log and data folder."""

    def __init__(self, cluster, name, port, operator_port):
        self.cluster = cluster
        self.name = name
        self.port = port
        self.operator_port = operator_port
        self.process = None
        self.settings = cluster.folder / f"{name}.yaml"
        self.log = cluster.folder / f"{name}.log"
        self.data_folder = cluster.folder / name

    def write_settings(self):
        peers = "".join(
            f"  - {peer.name}=127.0.0.1:{self.cluster.port_to(self, peer)}\n"
            for peer in self.cluster.instances
        )
        self.settings.write_text(
            f"control_id: {self.name}\nregion: cascadia\nzone: a\n"
            f"address: 127.0.0.1\nport: {self.port}\n"
            f"operator_port: {self.operator_port}\npeers:\n{peers}"
            f"data_folder: {self.data_folder}\n"
            f"cluster_key_file: {self.cluster.folder}/key\n"
            f"operator_token_file: {self.cluster.folder}/token\n"
            f"lease_ms: {self.cluster.lease_ms}\n{self.cluster.extra_settings}"
        )

    def start(self):
        self.write_settings()
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    f"{self.cluster.mutant}\n{_RUN}",
                    "--settings",
                    str(self.settings),
                ],
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )

    def send_signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def events(self):
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def request(
        self, method, path, body=None, token=OPERATOR_TOKEN, timeout_s=4.0
    ):
        """Sends an operator request; returns an `Answer`, None without one."""
        request = urllib.request.Request(
            f"http://127.0.0.1:{self.operator_port}{path}",
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {token}"},
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout_s) as found:
                return Answer(found.status, json.load(found), found.headers)
        except urllib.error.HTTPError as error:
            return Answer(error.code, json.load(error), error.headers)
        except OSError:
            return None

    def status(self):
        """Returns the body of `/v1/status`, or None without an answer."""
        answer = self.request("GET", "/v1/status", timeout_s=1.0)
        return answer.body if answer and answer.status == 200 else None

    def change(
        self, change_id, base, document=DOCUMENT, author="ops", **options
    ):
        """Sends a change of the configuration; see `request`."""
        body = {
            "change_id": change_id,
            "base_version": base,
            "author": author,
            "document": document,
        }
        return self.request("PUT", "/v1/configuration", body, **options)


class Cluster:
    """A cluster of control instances, which runs as a context manager."""

    def __init__(
        self,
        folder,
        count=3,
        lease_ms=1000,
        mutant="",
        extra_settings="",
        cuttable=False,
    ):
        """Writes the keys and picks free ports; `start` runs the instances.

        Args:
            folder: Folder for settings, logs and data folders.
            count: Number of instances.
            lease_ms: Setting `lease_ms` of each instance.
            mutant: Python code that each instance runs before it starts, to
                disable one mechanism.
            extra_settings: Further lines of each instance's settings file.
            cuttable: True if the instances connect to one another through a
                relay, so that `cut` can hold back their messages.
        """
        self.mutant = mutant
        self.extra_settings = extra_settings
        self.folder = pathlib.Path(folder)
        self.lease_ms = lease_ms
        (self.folder / "key").write_text(CLUSTER_KEY)
        (self.folder / "token").write_text(OPERATOR_TOKEN)
        free_ports = ports.find_free_ports(2 * count)
        self.instances = []
        for index in range(count):
            self.instances.append(
                Instance(
                    self,
                    f"c{index}",
                    free_ports[2 * index],
                    free_ports[2 * index + 1],
                )
            )

        self.relay = None
        self.links = {}
        if cuttable:
            self.relay = relay_module.Relay()
            for instance in self.instances:
                for other in self.instances:
                    if instance is not other:
                        self.links[instance.name, other.name] = self.relay.add(
                            other.port
                        )

    def port_to(self, instance, other):
        """Returns the port under which one instance connects to another."""
        link = self.links.get((instance.name, other.name))
        return link.port if link else other.port

    def cut(self, instance, others, both_ways=True):
        """Holds back what one instance sends, or also what it receives.

        No connection is closed: the instances notice by timeouts only.
        """
        for other in others:
            self.links[instance.name, other.name].is_cut = True
            self.links[other.name, instance.name].is_cut |= both_ways

    def heal(self):
        """Ends every cut; bytes held back arrive late."""
        for link in self.links.values():
            link.is_cut = False

    def start(self):
        if self.relay is not None:
            self.relay.start()
        for instance in self.instances:
            instance.start()
        self.wait_for_leader()

    def leader(self, among=None):
        """Returns the instance that leads and vouches; None if none does."""
        for instance in among or self.instances:
            status = instance.status()
            if status and status["role"] == "leader" and status["vouched_ms"]:
                return instance
        return None

    def wait_for_leader(self, among=None, timeout_s=10.0):
        return wait_until(lambda: self.leader(among), timeout_s)

    def stop(self):
        for instance in self.instances:
            instance.kill()
        if self.relay is not None and self.relay.is_alive():
            self.relay.stop()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()
