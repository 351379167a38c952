"""Takes the short messages of other nodes on the ingress port."""

from cranberrymux.node import entry_context
from cranberrymux.node import environment
from cranberrymux.node import refusal_answer
from cranberrymux.node import suspect_message
from cranberrymux.node import vouch_message
from cranberrymux.node.http import headers
from cranberrymux.node.http import inbound_call


class PeerMessages:
    """Answers questions about attempts and takes news of suspects."""

    def __init__(self, node: environment.Environment) -> None:
        """Keeps the tables that messages are about."""
        self._node = node

    def take(self, call: inbound_call.InboundCall) -> bool:
        """Answers a message; returns False if the call is none.

        Args:
            call: A call whose sender has proven to be a node.
        """
        if call.head.target == vouch_message.TARGET:
            self._vouch(call)
            return True
        if call.head.target == suspect_message.TARGET:
            self._take_suspect(call)
            return True
        return False

    def _vouch(self, call: inbound_call.InboundCall) -> None:
        value = headers.find(call.head.headers, vouch_message.HEADER)
        key = None if value is None else vouch_message.decode_key(value)
        if key is None:
            self._refuse(call, "no such attempt")
            return
        now_s = self._node.clock.now_s()
        word = self._node.tombstones.refuse(now_s, key)
        call.answer(
            200,
            [(b"content-type", b"application/json")],
            vouch_message.encode_vouch(word),
        )

    def _take_suspect(self, call: inbound_call.InboundCall) -> None:
        value = headers.find(call.head.headers, suspect_message.HEADER)
        news = None if value is None else suspect_message.decode(value)
        if news is None:
            self._refuse(call, "no such suspect")
            return
        self._node.quarantine.hear(news)
        call.answer(200, [], b"")

    def _refuse(self, call: inbound_call.InboundCall, detail: str) -> None:
        one = entry_context.refuse_bad(detail)
        encoded = refusal_answer.encode_refusal(one, "")
        call.answer(encoded.status, encoded.headers, encoded.body)
