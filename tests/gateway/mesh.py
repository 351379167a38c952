"""Several gateways with their backend servers on an in-memory network.

Tests of the whole path of a request run on it in virtual time: the network
is the reactor and the clock of every gateway, and `run` advances it.
"""

import random

from cranberrymux.decisions.presence import announcement
from cranberrymux.decisions.routes import backend_service
from cranberrymux.decisions.routes import client_limits
from cranberrymux.decisions.routes import route
from cranberrymux.decisions.routes import route_document
from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.gateway import settings as gateway_settings
from cranberrymux.platform import dialect
from tests.fakes import backend as backend_module
from tests.fakes import memory_network
from tests.fakes import raw_client

HOST = "records.example"
_LIMITS = client_limits.ClientLimits()
PROOF_HEADER = (b"server-stamp", b"proof")


def make_route(name, service, **changes):
    default_route = route.Route(
        name=name,
        host=HOST,
        prefix=f"/{name}/",
        targets=(route.Target(service, 1.0),),
        repeatability=route.Repeatability.IDEMPOTENT,
        attempts=2,
        timeout_s=1.0,
        objective_s=1.5,
        priority=1,
    )
    return default_route._replace(**changes)


def make_document(*routes, label=1, limits=_LIMITS):
    services = sorted(
        {target.service for each in routes for target in each.targets}
    )
    return route_document.RouteDocument(
        label,
        tuple(routes),
        tuple(
            backend_service.BackendService(name, "/health", 99)
            for name in services
        ),
        limits,
        "{}",
    )


def answer_with_id(call, status, headers=(), body=b""):
    """Answers with the request's id, as every backend server does."""
    request_id = dict(call.head.headers).get(b"request-id", b"")
    call.answer(status, [(b"request-id", request_id), *headers], body)


def answer_with_proof(call):
    """Answers 200 with the headers that prove which server ran the request."""
    request_id = dict(call.head.headers).get(b"request-id", b"")
    answer_with_id(call, 200, [PROOF_HEADER], b"answer to " + request_id)


class Member:
    """One gateway and the backend server beside it.

    Ports and ids are derived from the position in the mesh.
    """

    def __init__(self, mesh, index, service, slots, zone):
        self.mesh = mesh
        base = 1000 + 10 * index
        self.entry_port = base
        self.backend_port = base + 4
        self.backend_id = f"b-{index}"
        self.service = service
        self.slots = slots
        self.zone = zone
        self.sequence = 0
        self.started_ms = 1
        self.settings = gateway_settings.GatewaySettings(
            node_id=f"n-{index}",
            ip="10.0.0.1",
            region="r",
            zone=zone,
            service=service,
            backend_address=f"10.0.0.1:{self.backend_port}",
            entry_address=f"10.0.0.1:{base}",
            hop_address=f"10.0.0.1:{base + 1}",
            ready_address=f"10.0.0.1:{base + 2}",
            announce_address=f"10.0.0.1:{base + 3}",
            metrics_port=0,
            control_instances=(),
            cluster_key="key",
            heartbeat_ms=500,
            control_timeout_ms=500,
            backend_lifetime_s=5.0,
            stop_s=5.0,
            repeat_ratio=0.2,
            repeat_slack=40.0,
            repeat_window_s=10.0,
            dialect=dialect.DIALECT,
            is_first_start=True,
        )
        self.backend = backend_module.Backend(
            mesh.network, self.backend_port, answer_with_proof
        )
        self.gateway = gateway_module.Gateway(
            self.settings,
            mesh.network,
            memory_network.VirtualClock(mesh.network),
            random.Random(index),
        )
        self.gateway.start()

    def restart(self):
        """Kills the gateway and starts another; its server keeps running.

        Nothing of the old one runs on: a graceful stop would close the ports
        of the new one when it ends.
        """
        self.gateway._checking.stop()
        self.gateway._sweeping.stop()
        self.gateway._close()
        self.settings = self.settings._replace(is_first_start=False)
        self.gateway = gateway_module.Gateway(
            self.settings,
            self.mesh.network,
            memory_network.VirtualClock(self.mesh.network),
            random.Random(0),
        )
        self.gateway.start()

    def announce(self, state=announcement.BackendState.SERVING, **changes):
        """Announces the backend server and updates all gateways."""
        self.sequence += 1
        announced = announcement.Announcement(
            backend_id=self.backend_id,
            started_ms=self.started_ms,
            sequence=self.sequence,
            service=self.service,
            address=f"10.0.0.1:{self.backend_port}",
            zone=self.zone,
            slots=self.slots,
            state=state,
            cold_left_s=0.0,
        )._replace(**changes)
        change = self.gateway.announce(announced)
        self.mesh.publish_endpoints()
        return change

    def announce_if_up(self):
        """Announces the backend server unless it has ended."""
        if self.backend_port in self.mesh.network.factories:
            self.announce()


class Mesh:
    """All gateways; tests distribute routes and endpoint records."""

    def __init__(self, *services, slots=10):
        self.network = memory_network.MemoryNetwork()
        self.members = [
            Member(self, index, service, slots, f"z{index % 2}")
            for index, service in enumerate(services)
        ]
        for member in self.members:
            member.announce()

    def configure(self, *routes, label=1, **changes):
        text = self.text = route_document.dump(
            make_document(*routes, label=label, **changes)
        )
        for member in self.members:
            member.gateway.updates.configuration_changed(label, text)

    def publish_endpoints(self):
        records = [
            member.gateway._own_endpoint.record
            for member in self.members
            if member.gateway._own_endpoint.record is not None
        ]
        for member in self.members:
            member.gateway.updates.endpoints_changed(records)

    def run_announced(self, seconds):
        """Lets time pass, in which all backend servers say that they serve."""
        for _ in range(round(seconds)):
            for member in self.members:
                member.announce()
            self.network.run(1.0, step_s=0.002)

    def restart(self, index):
        """Restarts a gateway, which gets the configuration at once."""
        self.members[index].restart()
        self.members[index].gateway.updates.configuration_changed(1, self.text)

    def connect(self, index):
        client = raw_client.RawClient()
        self.network.connect(self.members[index].entry_port, client)
        return client

    def ask(self, index, path, *, method="GET", headers=(), body=b"", wait=0.1):
        client = self.connect(index)
        client.send(encode(path, method=method, headers=headers, body=body))
        self.network.run(wait)
        return client


def encode(path, *, method="GET", headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    names = {name.lower() for name, _ in headers}
    if "request-id" not in names:
        lines.append("Request-Id: r1")
    if "deadline-ms" not in names:
        lines.append("Deadline-Ms: 5000")
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
