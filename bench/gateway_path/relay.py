"""Relay that copies bytes, the lower bound of what a node costs."""

import sys
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.protocols import portforward


def main() -> None:
    """Copies between a loopback port and another; the arguments name them."""
    reactor: Any = default_reactor
    factory: Any = portforward.ProxyFactory("127.0.0.1", int(sys.argv[2]))
    reactor.listenTCP(int(sys.argv[1]), factory, interface="127.0.0.1")
    print('{"event": "ready"}', flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
