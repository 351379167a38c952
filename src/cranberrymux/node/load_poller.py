"""Asks the backend server for its load."""

from collections.abc import Callable
from typing import Any

import treq
from twisted.internet import defer
from twisted.internet import task
from twisted.web import client

from cranberrymux.node import backend_server

_PERIOD_S = 1.0
_TIMEOUT_S = 0.8


class LoadPoller:
    """Polls the load endpoint that the backend server announced, if any."""

    def __init__(
        self,
        reactor: Any,
        get_backend: Callable[[], backend_server.BackendServer | None],
        on_load: Callable[[float], None],
    ) -> None:
        """Keeps whom to ask and whom to tell."""
        self._get_backend = get_backend
        self._on_load = on_load
        make_agent: Any = client.Agent
        self._client = treq.client.HTTPClient(make_agent(reactor))
        self._loop = task.LoopingCall(self._begin)
        self._is_asking = False

    def start(self) -> None:
        """Begins to poll."""
        self._loop.start(_PERIOD_S, now=False)

    def _begin(self) -> None:
        if not self._is_asking:
            defer.ensureDeferred(self._ask())

    async def _ask(self) -> None:
        backend = self._get_backend()
        if backend is None or not backend.load_path:
            return
        self._is_asking = True
        host, port = backend.address
        url = f"http://{host}:{port}{backend.load_path}"
        try:
            answer = await self._client.get(url, timeout=_TIMEOUT_S)
            values = await answer.json()
            self._on_load(min(max(float(values["load"]), 0.0), 1.0))
        except Exception:  # noqa: BLE001, S110  # The load is only a hint.
            pass
        finally:
            self._is_asking = False
