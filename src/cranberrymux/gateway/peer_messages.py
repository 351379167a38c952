"""Messages of other nodes that arrive at the hop port."""

import hmac

from cranberrymux.gateway import parts as parts_module
from cranberrymux.node import peer_request
from cranberrymux.node import suspect_message
from cranberrymux.node.http import headers as headers_module
from cranberrymux.node.http import inbound_call


class PeerMessages:
    """Takes the reports of siblings on suspects."""

    def __init__(self, parts: parts_module.GatewayParts) -> None:
        """Keeps the state that messages change."""
        self._parts = parts
        self._cluster_key = parts.settings.cluster_key.encode()

    def handle(self, call: inbound_call.InboundCall) -> bool:
        """Answers a message; returns False if the call is a request."""
        head = call.head
        if head.target != suspect_message.TARGET:
            return False
        key = headers_module.find(head.headers, peer_request.KEY_HEADER)
        if key is None:
            return False  # A client's request may have the same target.
        if not hmac.compare_digest(key, self._cluster_key):
            self._parts.events.warning("wrong-cluster-key")
            call.answer(403, [], b"")
            return True
        reports = suspect_message.read(head.headers)
        if reports is None:
            self._parts.events.warning(
                "bad-peer-message", detail="suspect header"
            )
            call.answer(400, [], b"")
            return True
        self._parts.quarantine.merge_from_sibling(reports)
        call.answer(200, [], b"")
        return True
