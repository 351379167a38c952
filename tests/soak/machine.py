"""A node and its backend server as processes, with a proxy before each."""

import http.client
import json
import signal

from tests.platform import files
from tests.soak import account_checks
from tests.soak import program
from tests.soak import proxy as proxy_module

SLOTS = 8
GRACE_S = 6
_NODE_CODE = (
    "import sys; from cranberrymux.platform import node_main;"
    " sys.exit(node_main.main())"
)


class Machine:
    """Processes and proxies that share one loopback IP address.

    Clients reach the node, and the node its backend server, through proxies on
    a second loopback address, so that connections can be disturbed.

    Attributes:
        name: `m` and the place in the fleet.
        service: Service that the backend server offers.
        ip: Loopback address of node and backend server.
        zone: Availability zone.
        outbound_address: Address at which the node accepts requests, without
            the proxy.
        client_address: The same through the proxy.
        settings: Settings file of the node.
        records: File of the JSON lines of the backend server.
        node: The program of the node.
        backend: The program of the backend server.
        client_proxy: Proxy between clients and node.
        backend_proxy: Proxy between node and backend server.
    """

    def __init__(
        self, folder, fleet, place, service, ports, node_code=_NODE_CODE
    ):
        """Prepares the processes and starts the proxies.

        Args:
            folder: Folder for settings, logs and records.
            fleet: The control instances.
            place: Number of the machine.
            service: Service that the backend server offers.
            ports: The five ports of a machine.
            node_code: Python code that runs the node.
        """
        self._fleet = fleet
        self.name = f"m{place}"
        self.service = service
        self.ip = f"{fleet.net}.{100 + place}"
        self.zone = f"z{place % 2}"
        outbound_port, inbound_port, ready_port, announce_port, backend_port = (
            ports
        )
        self.outbound_address = (self.ip, outbound_port)
        self._backend = (self.ip, backend_port)
        # Addresses of the proxies: clients connect to the first, the node to
        # the second.
        self.client_address = (f"{fleet.net}.{150 + place}", outbound_port)
        backend_address = (f"{fleet.net}.{150 + place}", backend_port)
        self._backend_address = backend_address
        self._node_ports = (inbound_port, ready_port, announce_port)
        self.settings = folder / f"{self.name}.toml"
        self.write_settings()
        self.records = folder / f"{self.name}-backend.jsonl"
        self.node = program.Program(
            f"node {self.name}",
            ["-c", node_code],
            folder / f"{self.name}-node.log",
            {"CRANBERRYMUX_SETTINGS": str(self.settings)},
        )
        arguments = [
            "-m",
            "tests.soak.backend_main",
            f"--name=b-{self.name}",
            f"--service={service}",
            f"--zone={self.zone}",
            f"--announced={_host_port(backend_address)}",
            f"--announce={self.ip}:{announce_port}",
            f"--entry={_host_port(self.outbound_address)}",
            f"--listen={_host_port(self._backend)}",
            f"--slots={SLOTS}",
        ]
        if service == "s1":
            arguments.append("--calls")
        self.backend = program.Program(
            f"backend {self.name}", arguments, self.records
        )
        self.client_proxy = proxy_module.Proxy(
            self.client_address, self.outbound_address
        )
        self.backend_proxy = proxy_module.Proxy(backend_address, self._backend)

    @property
    def hop_address(self):
        """Where the node accepts requests of other nodes."""
        return self.ip, self._node_ports[0]

    @property
    def announce_address(self):
        """Where the node accepts announcements of its backend server."""
        return self.ip, self._node_ports[2]

    @property
    def late_times_s(self):
        """Times of faults after which requests begin late by no node's doing.

        Those of the backend server and of the connections, monotonic seconds.
        """
        signals_s = set(self.node.signal_times_s)
        links_s = [at for at in self.node.fault_times_s if at not in signals_s]
        return sorted(links_s + self.backend.fault_times_s)

    def write_settings(self):
        """Writes the settings file of the node with the seeds of now."""
        files.write_at_once(self.settings, self._make_settings())

    def start(self):
        self.node.start()
        self.backend.start()

    def close(self):
        self.node.close()
        self.backend.close()
        self.client_proxy.close()
        self.backend_proxy.close()

    def send_to_backend(self, path):
        """Sends `/state/PATH` to the backend server; ignores its absence."""
        try:
            connection = http.client.HTTPConnection(*self._backend, timeout=2)
            connection.request("GET", f"/state/{path}")
            connection.getresponse().read()
            connection.close()
        except OSError:
            return

    def clear_faults(self):
        """Ends every fault and starts the programs that have ended."""
        for proxy in (self.client_proxy, self.backend_proxy):
            proxy.fault = proxy_module.Fault.NONE
        for restored in (self.node, self.backend):
            restored.send(signal.SIGCONT)
            if not restored.is_running:
                restored.start()
        self.send_to_backend("slowness/1")
        self.send_to_backend("failing/0")
        self.send_to_backend("stuttering/0")
        self.send_to_backend("limit/0")

    def _make_settings(self):
        inbound_port, ready_port, announce_port = self._node_ports
        fleet = self._fleet
        return (
            f'[self]\nnode = "{self.name}"\nip = "{self.ip}"\n'
            f'zone = "{self.zone}"\nregion = "r"\nservice = "{self.service}"\n'
            f'app_addr = "{_host_port(self._backend_address)}"\n'
            f"bootstrap = false\n"
            f"[network]\ninternal_ports = [{fleet.port}, {fleet.port}]\n"
            f"seeds = {json.dumps(fleet.seeds)}\n"
            f"[network.listen]\n"
            f'outbound = "{_host_port(self.outbound_address)}"\n'
            f'inbound = "{self.ip}:{inbound_port}"\n'
            f'ready = "{self.ip}:{ready_port}"\n'
            f'control = "{self.ip}:{announce_port}"\n'
            f'[provider]\nbeat_interval = "400ms"\n'
            f'[terms.bounds]\ngrace = "{GRACE_S}s"\nbudget_ratio = 0.2\n'
            f'budget_slack = 40\nbudget_window = "10s"\n'
            f"strict_revoke = true\n"
            f'revoke = "{account_checks.REVOKE_S:g}s"\n'
        )


def _host_port(address):
    return f"{address[0]}:{address[1]}"
