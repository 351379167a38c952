"""Polls the load that the backend server measures."""

from collections.abc import Callable
from typing import Any

import treq
from twisted.internet import defer
from twisted.internet import task
from twisted.web import client

from cranberrymux.node import backend_server

_POLL_INTERVAL_S = 1.0
_TIMEOUT_S = 0.8
_OK = 200


class LoadPoller:
    """Requests `load_path` of the backend server once a second, if it has one.

    The path returns a JSON object whose `load` is a number. Errors, and answers
    with another status than 200, are ignored, as the load is only a hint.
    """

    def __init__(
        self,
        reactor: Any,
        get_backend: Callable[[], backend_server.BackendServer | None],
        on_load: Callable[[float], None],
    ) -> None:
        """Creates a poller that is not started.

        Args:
            reactor: Opens the connections.
            get_backend: Returns the backend server; None if there is none.
            on_load: Called with each load, limited to 0.0 to 1.0.
        """
        self._get_backend = get_backend
        self._on_load = on_load
        make_agent: Any = client.Agent
        self._client = treq.client.HTTPClient(make_agent(reactor))
        self._loop = task.LoopingCall(self._poll_unless_pending)
        self._is_pending = False

    def start(self) -> None:
        """Starts to poll, first after one interval."""
        self._loop.start(_POLL_INTERVAL_S, now=False)

    def _poll_unless_pending(self) -> None:
        if not self._is_pending:
            defer.ensureDeferred(self._poll())

    async def _poll(self) -> None:
        backend = self._get_backend()
        if backend is None or not backend.load_path:
            return
        self._is_pending = True
        host, port = backend.address
        url = f"http://{host}:{port}{backend.load_path}"
        try:
            answer = await self._client.get(url, timeout=_TIMEOUT_S)
            values = await answer.json()
            if answer.code != _OK:
                return
            self._on_load(min(max(float(values["load"]), 0.0), 1.0))
        except Exception:  # noqa: BLE001, S110  # The load is only a hint.
            pass
        finally:
            self._is_pending = False
