"""A backend server that answers at once, so that nodes dominate."""

import sys
from typing import Any

from twisted.internet import reactor as default_reactor

from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory

_DEFAULT_ANSWER_BYTES = 256


class Echo:
    """Implements `call_handler.CallHandler`."""

    def __init__(self, answer: bytes) -> None:
        """Keeps the answer to every call."""
        self._answer = answer

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers with fixed bytes."""
        call.answer(200, [(b"content-type", b"text/plain")], self._answer)


def main() -> None:
    """Listens on the port of the first argument."""
    size = int(sys.argv[2]) if len(sys.argv) > 2 else _DEFAULT_ANSWER_BYTES
    reactor: Any = default_reactor
    factory = server_factory.ServerFactory(Echo(b"x" * size), limits.Limits())
    reactor.listenTCP(
        int(sys.argv[1]), factory, interface="127.0.0.1", backlog=1024
    )
    print('{"event": "echo-ready"}', flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
