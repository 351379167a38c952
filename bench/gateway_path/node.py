"""One of the two nodes of the benchmark, without control instances."""

import sys
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet import task

from bench.gateway_path import settings
from cranberrymux.decisions.presence import announcement
from cranberrymux.gateway import gateway as gateway_module
from cranberrymux.models import endpoint_record
from cranberrymux.models import endpoint_state

SLOTS = 100
_ENDPOINT_ID = "endpoint"
_ANNOUNCEMENT_INTERVAL_S = 1.0


def main() -> None:
    """Serves; the arguments are the node's name, its ports and a hop port.

    The last is the hop port of the endpoint's node.
    """
    name = sys.argv[1]
    entry, hop, backend, endpoint_hop = (int(port) for port in sys.argv[2:])
    service = settings.SERVICE if name == _ENDPOINT_ID else "front"
    reactor: Any = default_reactor
    gateway = gateway_module.Gateway(
        settings.make_settings(
            name, service, settings.NodePorts(entry, hop, backend)
        ),
        reactor,
    )
    gateway.start()
    gateway.updates.configuration_changed(1, settings.make_configuration())
    gateway.updates.endpoints_changed([_make_record(endpoint_hop)])
    sequence = 0

    def announce() -> None:
        nonlocal sequence
        sequence += 1
        gateway.announce(
            announcement.Announcement(
                f"backend-of-{name}",
                1,
                sequence,
                service,
                f"127.0.0.1:{backend}",
                "z",
                SLOTS,
                announcement.BackendState.SERVING,
                0.0,
            )
        )

    task.LoopingCall(announce).start(_ANNOUNCEMENT_INTERVAL_S)
    print('{"event": "ready"}', flush=True)
    reactor.run()


def _make_record(hop_port: int) -> endpoint_record.EndpointRecord:
    return endpoint_record.EndpointRecord(
        settings.SERVICE,
        _ENDPOINT_ID,
        1,
        1,
        "127.0.0.1",
        hop_port,
        "r",
        "z",
        {},
        SLOTS,
        endpoint_state.EndpointState.SERVING,
        f"backend-of-{_ENDPOINT_ID}",
        1,
    )


if __name__ == "__main__":
    main()
