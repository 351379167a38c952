"""Backend server that answers at once with its proof and usual headers."""

import sys
from typing import Any

from twisted.internet import reactor as default_reactor

from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory
from cranberrymux.platform import dialect

_BODY = b"{}" * 50
_HEADERS = [
    (dialect.DIALECT.proof, b"proof"),
    (b"content-type", b"application/json"),
    (b"cache-control", b"no-store"),
    (b"date", b"Mon, 05 Jan 2026 10:00:00 GMT"),
]


class StubBackend:
    """Answers all calls alike; a `call_handler.CallHandler`."""

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers at once with status 200 and the id of the request."""
        name = dialect.DIALECT.request_id
        request_id = dict(call.head.headers).get(name, b"")
        call.answer(200, [(name, request_id), *_HEADERS], _BODY)


def main() -> None:
    """Listens on the loopback port that the argument names."""
    reactor: Any = default_reactor
    factory = server_factory.ServerFactory(StubBackend(), limits.Limits())
    reactor.listenTCP(int(sys.argv[1]), factory, interface="127.0.0.1")
    print('{"event": "ready"}', flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
