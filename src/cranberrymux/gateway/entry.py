"""The entry port: finds the route of each client request."""

import json

from cranberrymux.decisions.routes import route as route_module
from cranberrymux.decisions.routes import route_table
from cranberrymux.gateway import client_identity
from cranberrymux.gateway import entry_call
from cranberrymux.gateway import hop
from cranberrymux.gateway import own_answers
from cranberrymux.gateway import parts as parts_module
from cranberrymux.gateway import request_digest
from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import request_head

_JSON_TYPE = (b"content-type", b"application/json")
NO_CONFIGURATION = "this node has no configuration yet"
NO_KEY_LEASE = "this node cannot check keys at present"
MINIMUM_RETRY_DELAY_S = 0.2
MAXIMUM_RETRY_DELAY_S = 0.6


class Entry:
    """Handler of the entry port, where a node takes requests of clients."""

    def __init__(self, parts: parts_module.GatewayParts) -> None:
        """Prepares the headers that are replaced in every request."""
        self._parts = parts
        dialect = parts.settings.dialect
        self._replaced_names = frozenset(
            (
                dialect.request_id,
                dialect.deadline_ms,
                dialect.caller_service,
                dialect.expected_backend,
                dialect.api_key,
                dialect.account,
            )
        )
        self._caller_header = (
            dialect.caller_service,
            parts.settings.service.encode(),
        )

    def may_run_ahead(self, head: request_head.RequestHead) -> bool:
        """True for a request that is lost with its connection at no harm.

        The answers to those before it may close the connection.
        """
        table = self._parts.routes.table
        route = None if table is None else _find_route(table, head)
        return route is not None and route.is_idempotent

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Routes a request, or answers 400 without an id, 404 without a route.

        Before any configuration is known, the answer is 503.
        """
        parts = self._parts
        dialect = parts.settings.dialect
        request_id = call.head.headers.first.get(dialect.request_id)
        if not request_id:
            # Its answer could not be told from those to other requests.
            body = json.dumps({"error": "no-request-id"}).encode()
            call.answer(400, [_JSON_TYPE], body)
            return
        table = parts.routes.table
        if table is None:
            self._refuse_for_now(call, NO_CONFIGURATION)
            return
        route = _find_route(table, call.head)
        if route is None:
            body = json.dumps({"error": "no-route"}).encode()
            call.answer(404, [_JSON_TYPE], body)
            return
        now_s = parts.clock.now_s()
        identity = client_identity.identify(
            parts, table, route, call.head.headers, now_s
        )
        if identity.verdict is not client_identity.IdentityVerdict.ACCEPTED:
            self._refuse_key(call, request_id, identity.verdict)
            return
        account = identity.account
        digest = request_digest.make(call)
        headers = [
            *hop.get_forwardable(call.head.headers, self._replaced_names),
            (dialect.request_id, request_id),
            self._caller_header,
            (hop.ROUTE, route.name.encode()),
            (hop.DIGEST, digest.encode()),
        ]
        if account is not None:
            headers.append((dialect.account, account.name.encode()))
        entry_call.EntryCall(
            parts, call, route, headers, digest, account, now_s
        ).start()

    def _refuse_key(
        self,
        call: inbound_call.InboundCall,
        request_id: bytes,
        verdict: client_identity.IdentityVerdict,
    ) -> None:
        parts = self._parts
        parts.metrics.key_refusals.labels(verdict.value).inc()
        if verdict is client_identity.IdentityVerdict.NO_LEASE:
            self._refuse_for_now(call, NO_KEY_LEASE)
            return
        id_header = (parts.settings.dialect.request_id, request_id)
        body = json.dumps({"error": verdict.value}).encode()
        call.answer(401, [id_header, _JSON_TYPE], body)

    def _refuse_for_now(
        self, call: inbound_call.InboundCall, reason: str
    ) -> None:
        """Refuses a request for what the next heartbeats should end."""
        retry_delay_s = self._parts.generator.uniform(
            MINIMUM_RETRY_DELAY_S, MAXIMUM_RETRY_DELAY_S
        )
        own_answers.refuse(self._parts, call, reason, retry_delay_s)


def _find_route(
    table: route_table.RouteTable, head: request_head.RequestHead
) -> route_module.Route | None:
    host = head.headers.first.get(b"host", b"")
    path = head.target
    if b"?" in path:
        path = path.partition(b"?")[0]
    return table.find(host.decode("latin-1"), path.decode("latin-1"))
