"""Handles the messages of other nodes that arrive at the ingress port."""

from cranberrymux.node import entry_context
from cranberrymux.node import environment
from cranberrymux.node import refusal_answer
from cranberrymux.node import suspect_message
from cranberrymux.node import vouch_message
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call


class PeerMessageHandler:
    """Answers requests for vouches and merges reports on suspects."""

    def __init__(self, node: environment.Environment) -> None:
        """Keeps the tables that the messages read and change."""
        self._node = node

    def handle(self, call: inbound_call.InboundCall) -> bool:
        """Answers a message; returns False if the call is not a message.

        Args:
            call: A call that carries the valid cluster key.
        """
        if call.head.target == vouch_message.TARGET:
            self._answer_vouch(call)
            return True
        if call.head.target == suspect_message.TARGET:
            self._merge_suspect_report(call)
            return True
        return False

    def _answer_vouch(self, call: inbound_call.InboundCall) -> None:
        value = headers.find(call.head.headers, vouch_message.HEADER)
        key = None if value is None else vouch_message.decode_key(value)
        if key is None:
            self._refuse(call, "cranberrymux-vouch is missing or not valid")
            return
        now_s = self._node.clock.now_s()
        reply = self._node.tombstones.refuse(now_s, key)
        call.answer(
            200,
            [(b"content-type", b"application/json")],
            vouch_message.encode_vouch(reply),
        )

    def _merge_suspect_report(self, call: inbound_call.InboundCall) -> None:
        reports = suspect_message.read(call.head.headers)
        if reports is None:
            self._refuse(call, "cranberrymux-suspect is missing or not valid")
            return
        self._node.quarantine.merge_from_sibling(reports)
        call.answer(200, [], b"")

    def _refuse(self, call: inbound_call.InboundCall, detail: str) -> None:
        refusal = entry_context.make_bad_request_refusal(detail)
        refusal_answer.send(call, refusal)
