"""Backend server that accepts calls and never answers them."""

import sys
from typing import Any

from twisted.internet import reactor as default_reactor

from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory


class SilentBackend:
    """Handler that holds every call open; a `call_handler.CallHandler`."""

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Leaves the call without an answer."""


def main() -> None:
    """Listens on the loopback port given as the only argument."""
    reactor: Any = default_reactor
    factory = server_factory.ServerFactory(SilentBackend(), limits.Limits())
    reactor.listenTCP(
        int(sys.argv[1]), factory, interface="127.0.0.1", backlog=4096
    )
    print('{"event": "silent-ready"}', flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
