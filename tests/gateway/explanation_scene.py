"""A node that is asked where its requests would go, in memory."""

import random

import structlog

from cranberrymux.decisions.accounts import client_account
from cranberrymux.decisions.accounts import request_rank
from cranberrymux.decisions.pressure import (
    traffic_class as traffic_class_module,
)
from cranberrymux.decisions.pressure import work_report
from cranberrymux.decisions.routes import route
from cranberrymux.decisions.routes import route_document
from cranberrymux.gateway import entry
from cranberrymux.gateway import metrics_port
from cranberrymux.gateway.explanation import asked_call
from cranberrymux.gateway.explanation import explainer as explainer_module
from cranberrymux.gateway.explanation import question as question_module
from tests import state_snapshot
from tests.fakes import memory_network
from tests.fakes import quota_owner
from tests.fakes import raw_client
from tests.gateway import mesh as mesh_module

KEY = "k-7421-secret"
MILL = client_account.ClientAccount("mill", (KEY,), 0, 10.0, 10.0)
FREE = client_account.ClientAccount("free", ("k-free",))
BARE = client_account.ClientAccount("bare", ())
KEYS = {"mill": KEY, "free": "k-free"}
SERVICES = ("front", *("deep",) * 6, "wide", "wide")
SPLIT = (route.Target("deep", 3.0), route.Target("wide", 1.0))


class Scene:
    """A node that is asked, eight with backend servers, and a quota owner."""

    def __init__(self):
        self.mesh = mesh_module.Mesh(*SERVICES)
        self.network = self.mesh.network
        self.document = mesh_module.make_document(
            mesh_module.make_route("read", "deep", priority=2),
            mesh_module.make_route("open", "deep", is_public=True),
            mesh_module.make_route("split", "-", targets=SPLIT, is_public=True),
            mesh_module.make_route("none", "nobody", is_public=True),
        )._replace(accounts=(MILL, FREE, BARE))
        self.gateway = self.mesh.members[0].gateway
        self.parts = self.gateway._parts
        self.owner = quota_owner.QuotaOwner(self.network, MILL)
        self.explainer = explainer_module.Explainer(self.parts)

    def configure(self):
        text = route_document.dump(self.document)
        for member in self.mesh.members:
            member.gateway.updates.configuration_changed(1, text)
            member.gateway._parts.quotas._connect = self.owner.connect
            member.gateway.updates.quota_owner_received("10.0.0.9:1")
        self.network.run(1.0, step_s=0.01)

    def explain(self, path="/read/x", **more):
        question = question_module.Question("GET", path, **more)
        return self.explainer.explain(question)

    def serve(self, path="/read/x", account="", deadline_ms=None):
        """Lets a real request arrive; returns its call and its endpoint."""
        dialect = self.parts.settings.dialect
        headers = [
            (b"host", mesh_module.HOST.encode()),
            (dialect.request_id, b"real-%d" % random.getrandbits(60)),
        ]
        if account:
            headers.append((dialect.api_key, KEYS[account].encode()))
        if deadline_ms is not None:
            headers.append((dialect.deadline_ms, b"%d" % deadline_ms))
        before = self.count_outstanding()
        call = asked_call.AskedCall(
            question_module.Question("GET", path), headers
        )
        entry.Entry(self.parts).handle_call(call)
        after = self.count_outstanding()
        sent = [name for name in after if after[name] > before[name]]
        return call, sent[0] if sent else None

    def count_outstanding(self):
        return {
            view.record.endpoint_id: view.outstanding
            for views in self.parts.endpoints._services.values()
            for view in views.values()
        }

    def take_snapshot(self):
        skipped = (memory_network.MemoryNetwork, structlog.BoundLoggerBase)
        return state_snapshot.take(self.gateway, skipped)

    def refuse_trees(self, share=0.3, account=""):
        """Lets the deepest service report that it takes a part only."""
        admission = self.parts.entry_admission.root_admission
        name = "read" if account else "open"
        work = work_report.ServiceWork(0.05, share, share if account else None)
        rank = 2 * request_rank.ROUTE_PRIORITIES + 2  # The routes' priority.
        for _ in range(30):
            admission.note_report(
                self.parts.clock.now_s(),
                name,
                {"deep": work},
                True,
                traffic_class_module.make_key(rank, account, name),
            )
            self.serve(f"/{name}/x", account)
            self.network.run(0.02, step_s=0.01)


class Port:
    """The metrics address of the node."""

    def __init__(self, scene):
        self.scene = scene
        handler = metrics_port.MetricsPort(scene.parts.metrics, scene.explainer)
        scene.gateway.listen("10.0.0.1:1999", handler)

    def get(self, target, method="GET"):
        client = raw_client.RawClient()
        self.scene.network.connect(1999, client)
        client.send(mesh_module.encode(target, method=method))
        self.scene.network.run(0.05)
        head, _, body = client.received.partition(b"\r\n\r\n")
        return int(head.split()[1]), body
