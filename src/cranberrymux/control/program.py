"""Starts, joins and stops the parts of a control instance."""

import time
from typing import Any

import structlog
from twisted.internet import error
from twisted.internet import reactor as installed_reactor
from twisted.internet import task
from twisted.web import server

from cranberrymux.control import control_settings
from cranberrymux.control import memory_log
from cranberrymux.control import node_service
from cranberrymux.control import operator_api
from cranberrymux.control import state_machine
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.wire import control_server

# The library has no types.
_Site: Any = server.Site

EXIT_OK = 0
EXIT_FAILED = 1
TICKS_PER_LEASE = 8


class Program:
    """One control instance."""

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        cluster_key: str,
        token: str,
    ) -> None:
        """Builds the parts; `run` opens the sockets.

        Args:
            settings: The instance's settings.
            cluster_key: Key of nodes and control instances.
            token: Token of operators.
        """
        self._settings = settings
        self._reactor: Any = installed_reactor
        self._events = structlog.get_logger()
        machine = state_machine.StateMachine(_claim_settings(settings))
        log = memory_log.MemoryLog(
            settings.control_id,
            settings.peers[0].control_id,
            machine,
            _now_ms,
            settings.lease_ms,
        )
        self._service = node_service.NodeService(
            settings, cluster_key, machine, log, time.monotonic
        )
        api = operator_api.OperatorApi(
            settings,
            token,
            machine=machine,
            log=log,
            service=self._service,
            now_s=time.monotonic,
        )
        self._factory = control_server.ControlServerFactory(
            self._service, self._service.report_bad_frame
        )
        self._site = _Site(api.app.resource())
        self._site.noisy = False
        self._tick = task.LoopingCall(self._service.tick)

    def run(self) -> int:
        """Serves until a signal; returns the exit code."""
        settings = self._settings
        try:
            self._reactor.listenTCP(
                settings.port, self._factory, interface=settings.address
            )
            self._reactor.listenTCP(
                settings.operator_port, self._site, interface=settings.address
            )
        except error.CannotListenError as failed:
            self._events.error("cannot-listen", detail=str(failed))
            return EXIT_FAILED
        self._tick.start(settings.lease_ms / 1000 / TICKS_PER_LEASE)
        self._reactor.addSystemEventTrigger(
            "before", "shutdown", self._shut_down
        )
        self._reactor.callWhenRunning(self._report_ready)
        self._reactor.run()
        self._events.info("control-stopped")
        return EXIT_OK

    def _report_ready(self) -> None:
        self._events.info(
            "control-ready",
            control_id=self._settings.control_id,
            port=self._settings.port,
            operator_port=self._settings.operator_port,
        )

    def _shut_down(self) -> None:
        self._events.info("control-stopping")
        self._factory.close_connections()


def _now_ms() -> int:
    return int(time.time() * 1000)


def _claim_settings(
    settings: control_settings.ControlSettings,
) -> claim_settings.ClaimSettings:
    return claim_settings.ClaimSettings(
        accepted_age_ms=settings.claim_accepted_age_s * 1000,
        retention_ms=settings.claim_retention_s * 1000,
        running_ms=settings.claim_running_s * 1000,
    )
