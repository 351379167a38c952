"""HTTP calls of the platform to a node: readiness and announcements."""

from cranberrymux.decisions.presence import presence
from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.node.http import inbound_call
from cranberrymux.platform import announcement_format
from cranberrymux.platform import json_answer
from cranberrymux.platform import paths


class ReadyPort:
    """Answers readiness checks."""

    def __init__(self, gateway: gateway_module.Gateway) -> None:
        """Answers for the given gateway."""
        self._gateway = gateway

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers 200 if clients may send requests to this node, else 503."""
        if call.head.target != paths.READY:
            json_answer.send(call, 404, {"error": "unknown path"})
        elif self._gateway.is_ready:
            json_answer.send(call, 200, {})
        else:
            json_answer.send(call, 503, {"error": "not ready"})


class AnnouncePort:
    """Passes announcements of the backend server on to the gateway."""

    def __init__(self, gateway: gateway_module.Gateway) -> None:
        """Passes announcements on to the given gateway."""
        self._gateway = gateway

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Applies an announcement, or with `DELETE` a departure."""
        target = call.head.target
        if not target.startswith(paths.INSTANCES_PREFIX):
            json_answer.send(call, 404, {"error": "unknown path"})
            return
        backend_id = target[len(paths.INSTANCES_PREFIX) :].decode("latin-1")
        if call.head.method == b"DELETE":
            self._gateway.leave(backend_id)
            json_answer.send(call, 200, {})
            return
        decoded = announcement_format.decode(backend_id, call.buffered_body())
        if isinstance(decoded, announcement_format.AnnouncementError):
            json_answer.send(call, 400, {"error": decoded.detail})
            return
        change = self._gateway.announce(decoded)
        if change is presence.PresenceChange.FOREIGN:
            json_answer.send(
                call, 400, {"error": "not the backend server of this node"}
            )
        elif change is presence.PresenceChange.STALE:
            json_answer.send(
                call,
                200,
                {"note": "ignored: older than the latest announcement"},
            )
        else:
            json_answer.send(call, 200, {})
