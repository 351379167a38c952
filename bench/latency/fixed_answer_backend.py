"""Backend server that answers at once, so that nodes dominate the latency."""

import sys
from typing import Any

from twisted.internet import reactor as default_reactor

from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory

_DEFAULT_ANSWER_BYTES = 256


class FixedAnswerBackend:
    """Answers all calls alike; a `call_handler.CallHandler`."""

    def __init__(self, body: bytes) -> None:
        """Takes the body of every answer."""
        self._body = body

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers at once with status 200 and the fixed body."""
        call.answer(200, [(b"content-type", b"text/plain")], self._body)


def main() -> None:
    """Listens on a loopback port.

    The arguments are the port and, optionally, the size of an answer in bytes.
    """
    size = int(sys.argv[2]) if len(sys.argv) > 2 else _DEFAULT_ANSWER_BYTES
    reactor: Any = default_reactor
    factory = server_factory.ServerFactory(
        FixedAnswerBackend(b"x" * size), limits.Limits()
    )
    reactor.listenTCP(
        int(sys.argv[1]), factory, interface="127.0.0.1", backlog=1024
    )
    print('{"event": "echo-ready"}', flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
