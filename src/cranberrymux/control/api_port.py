"""Serves the operators' HTTP API."""

import time
from typing import Any

from twisted.web import server

from cranberrymux.control import operator_api
from cranberrymux.control import operator_port

# The library has no types.
_Site: Any = server.Site


class ApiPort:
    """The operators' HTTP API on its port."""

    def __init__(self, token: str) -> None:
        """Keeps the operators' token."""
        self._token = token

    def listen(self, parts: operator_port.ControlParts) -> None:
        """Begins to take calls."""
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
