"""Opens the port of the operators' HTTP API."""

import time
from typing import Any

from twisted.web import server

from cranberrymux.control import operator_api
from cranberrymux.control import operator_port

# twisted.web has no type annotations.
_Site: Any = server.Site


class OperatorApiPort:
    """Serves `OperatorApi` on the operator port of the settings."""

    def __init__(self, token: str) -> None:
        """Creates the API without a port; `listen` opens it.

        Args:
            token: Bearer token that every request must present.
        """
        self._token = token

    def listen(self, parts: operator_port.ControlParts) -> None:
        """Opens the operator port; see `OperatorPort.listen`."""
        api = operator_api.OperatorApi(
            parts.settings,
            self._token,
            machine=parts.machine,
            log=parts.log,
            service=parts.service,
            metrics=parts.metrics,
            now_s=time.monotonic,
        )
        site = _Site(api.app.resource())
        site.noisy = False
        parts.reactor.listenTCP(
            parts.settings.operator_port,
            site,
            interface=parts.settings.address,
        )
