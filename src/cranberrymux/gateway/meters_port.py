"""The port on which a gateway's metrics are read."""

from cranberrymux.gateway import meters as meters_module
from cranberrymux.node.http import inbound_call

PATH = b"/metrics"


class MetersPort:
    """Answers with the metrics as text."""

    def __init__(self, meters: meters_module.GatewayMeters) -> None:
        """Keeps what is served."""
        self._meters = meters

    def handle_call(self, call: inbound_call.InboundCall) -> None:
        """Answers one read."""
        if call.head.target != PATH:
            call.answer(404, [], b"")
            return
        kind = (b"content-type", meters_module.CONTENT_TYPE)
        call.answer(200, [kind], self._meters.encode())
