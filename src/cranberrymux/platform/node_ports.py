"""The calls that the platform makes to a node: readiness, announcements."""

from cranberrymux.decisions.presence import presence
from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.node.http import inbound_call
from cranberrymux.platform import announcement_format
from cranberrymux.platform import answers
from cranberrymux.platform import paths


class ReadyPort:
    """Tells whether clients may send requests here."""

    def __init__(self, gateway: gateway_module.Gateway) -> None:
        """Keeps the gateway."""
        self._gateway = gateway

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers 200 or 503."""
        if call.head.target != paths.READY:
            answers.answer(call, 404, {"error": "no such call"})
        elif self._gateway.is_ready:
            answers.answer(call, 200, {})
        else:
            answers.answer(call, 503, {"error": "not ready"})


class AnnouncePort:
    """Takes what the backend server beside this node says of itself."""

    def __init__(self, gateway: gateway_module.Gateway) -> None:
        """Keeps the gateway."""
        self._gateway = gateway

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Takes an announcement or a departure."""
        target = call.head.target
        if not target.startswith(paths.INSTANCES_PREFIX):
            answers.answer(call, 404, {"error": "no such call"})
            return
        backend_id = target[len(paths.INSTANCES_PREFIX) :].decode("latin-1")
        if call.head.method == b"DELETE":
            self._gateway.leave(backend_id)
            answers.answer(call, 200, {})
            return
        said = announcement_format.decode(backend_id, call.held_body())
        if isinstance(said, announcement_format.AnnouncementError):
            answers.answer(call, 400, {"error": said.detail})
            return
        change = self._gateway.announce(said)
        if change is presence.PresenceChange.STALE:
            answers.answer(call, 200, {"note": "older than what is known"})
        else:
            answers.answer(call, 200, {})
