"""A backend server that takes calls and never answers."""

import sys
from typing import Any

from twisted.internet import reactor as default_reactor

from cranberrymux.node.http import inbound_call
from cranberrymux.node.http import limits
from cranberrymux.node.http import server_factory


class Silent:
    """Implements `call_handler.CallHandler`."""

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Leaves the call open."""


def main() -> None:
    """Listens on the port of the first argument."""
    reactor: Any = default_reactor
    factory = server_factory.ServerFactory(Silent(), limits.Limits())
    reactor.listenTCP(
        int(sys.argv[1]), factory, interface="127.0.0.1", backlog=4096
    )
    print('{"event": "silent-ready"}', flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
