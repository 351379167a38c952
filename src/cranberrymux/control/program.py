"""Starts, connects and stops the components of a control instance."""

import random
import signal
import time
from typing import Any

import structlog
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import reactor as installed_reactor
from twisted.internet import task

from cranberrymux import storage
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import replica_settings
from cranberrymux.consensus import restored_state
from cranberrymux.control import control_settings
from cranberrymux.control import node_service
from cranberrymux.control import operator_port
from cranberrymux.control import peer_clients
from cranberrymux.control import quorum_log
from cranberrymux.control import replica_loop
from cranberrymux.control import state_machine
from cranberrymux.decisions.claims import claim_settings
from cranberrymux.telemetry import metrics
from cranberrymux.telemetry import metrics_settings
from cranberrymux.wire import control_server
from cranberrymux.wire import limits

EXIT_OK = 0
EXIT_FAILED = 1
TICKS_PER_LEASE = 8
METRICS_INTERVAL_S = 1.0
MAXIMUM_RETAINED_ENTRIES = 1000
# Pause between tries to open a data folder whose disk is full.
OPENING_RETRY_S = 0.5


class Program:
    """The process of one control instance, from its start to its exit."""

    def __init__(
        self,
        settings: control_settings.ControlSettings,
        cluster_key: str,
        operators: operator_port.OperatorPort,
    ) -> None:
        """Creates the state machine and the metrics sink.

        The data folder and the sockets are opened by `run`.

        Args:
            settings: The instance's settings.
            cluster_key: Shared key of nodes and control instances.
            operators: Opens the operators' port.
        """
        self._settings = settings
        self._reactor: Any = installed_reactor
        self._events = structlog.get_logger()
        self._machine = state_machine.StateMachine(_claim_settings(settings))
        self._exit_code = EXIT_OK
        self._is_stopping = False
        self._has_left = False
        self._metrics = metrics.build(
            metrics_settings.MetricsSettings(
                settings.statsd_address, settings.statsd_prefix
            )
        )
        self._cluster_key = cluster_key
        self._operators = operators

    def run(self) -> int:
        """Serves until a signal or a fatal error; returns the exit code."""
        log = self._open_log()
        if log is None:
            return EXIT_FAILED
        if not self._listen(log):
            log.stop()
            return EXIT_FAILED
        log.start()
        self._service_ticks.start(
            self._settings.lease_ms / 1000 / TICKS_PER_LEASE
        )
        metrics_reports = task.LoopingCall(self._report_metrics, log)
        metrics_reports.start(METRICS_INTERVAL_S, now=False)
        self._reactor.addSystemEventTrigger(
            "before", "shutdown", self._shut_down, log
        )
        self._reactor.callWhenRunning(self._log_ready)
        signal.signal(signal.SIGHUP, self._ignore_hang_up)
        self._reactor.run()
        self._events.info(
            "control-stopped",
            exit_code=self._exit_code,
            has_left=self._has_left,
        )
        return self._exit_code

    def _ignore_hang_up(self, number: int, frame: Any) -> None:
        """Logs and ignores SIGHUP; settings are read at the start only."""
        del number, frame
        self._reactor.callFromThread(self._events.info, "hang-up-ignored")

    def _open_log(self) -> quorum_log.QuorumLog | None:
        settings = self._settings
        opened = self._open_folder()
        while isinstance(opened, storage.StorageError):
            self._log_storage_error(opened)
            if not opened.is_disk_full:
                return None
            time.sleep(OPENING_RETRY_S)
            opened = self._open_folder()
        folder, restored = opened
        replication = replica_settings.ReplicaSettings(
            max_entry_bytes=limits.MAXIMUM_COMMAND_BYTES,
            snapshot_entries=settings.snapshot_entries,
            retained_entries=min(
                settings.snapshot_entries, MAXIMUM_RETAINED_ENTRIES
            ),
        )
        forming = settings.forming
        if forming is not None:
            replication = replication._replace(
                heartbeat_s=forming.heartbeat_s,
                lease_s=forming.lease_s,
                election_spread_s=forming.election_spread_s,
            )
        driver = driver_module.LogDriver(
            replication, random.Random(), restored, replica_loop.now_s()
        )
        peers = peer_clients.PeerClients(
            settings, self._cluster_key, self._reactor
        )
        loop = replica_loop.ReplicaLoop(
            driver,
            folder,
            machine=self._machine,
            peers=peers,
            reactor=self._reactor,
            metrics=self._metrics,
            report_storage_failure=self._stop_for_storage_error,
            report_unexpected_error=self._stop_for_unexpected_error,
        )
        return quorum_log.QuorumLog(
            settings,
            driver,
            loop,
            peers=peers,
            reactor=self._reactor,
            lease_s=replication.lease_s,
            metrics=self._metrics,
        )

    def _open_folder(
        self,
    ) -> (
        tuple[storage.Folder, restored_state.RestoredState]
        | storage.StorageError
    ):
        settings = self._settings
        folder = storage.open_folder(settings.data_folder, settings.control_id)
        if isinstance(folder, storage.StorageError):
            return folder
        restored = folder.restore()
        if isinstance(restored, storage.StorageError):
            folder.close()
            return restored
        return folder, restored

    def _listen(self, log: quorum_log.QuorumLog) -> bool:
        settings = self._settings
        self._service = service = node_service.NodeService(
            settings,
            self._cluster_key,
            machine=self._machine,
            log=log,
            metrics=self._metrics,
            now_s=time.monotonic,
            boot_now_s=replica_loop.now_s,
            reactor=self._reactor,
        )
        self._service_ticks = task.LoopingCall(service.tick)
        self._factory = control_server.ControlServerFactory(
            service, service.report_bad_frame
        )
        parts = operator_port.ControlParts(
            settings, self._machine, log, service, self._metrics, self._reactor
        )
        try:
            self._reactor.listenTCP(
                settings.port, self._factory, interface=settings.address
            )
            self._operators.listen(parts)
        except error.CannotListenError as failed:
            self._events.error("cannot-listen", detail=str(failed))
            return False
        return True

    def _report_metrics(self, log: quorum_log.QuorumLog) -> None:
        self._service.report_metrics()
        log.report_metrics()
        self._metrics.flush()

    def _stop_for_storage_error(self, detail: str) -> None:
        self._events.error("storage-failed", detail=detail)
        self._stop_failed()

    def _stop_for_unexpected_error(self, error: str) -> None:
        self._events.error("fault", error=error)
        self._stop_failed()

    def _stop_failed(self) -> None:
        self._exit_code = EXIT_FAILED
        if not self._is_stopping:
            self._reactor.stop()

    def _log_storage_error(self, failed: storage.StorageError) -> None:
        self._events.error(
            "storage-failed",
            reason=failed.reason.value,
            path=failed.path,
            detail=failed.detail,
        )

    def _log_ready(self) -> None:
        self._events.info(
            "control-ready",
            control_id=self._settings.control_id,
            port=self._settings.port,
            operator_port=self._settings.operator_port,
        )

    def _shut_down(self, log: quorum_log.QuorumLog) -> defer.Deferred[None]:
        """Leaves the members unless the instance failed, then stops.

        The reactor stops once the result has fired.
        """
        self._is_stopping = True
        self._events.info("control-stopping")
        has_failed = self._exit_code != EXIT_OK
        left = defer.succeed(False) if has_failed else log.leave()
        return left.addCallback(self._stop_parts, log)

    def _stop_parts(self, has_left: bool, log: quorum_log.QuorumLog) -> None:
        self._has_left = has_left
        log.stop()
        self._factory.close_connections()


def _claim_settings(
    settings: control_settings.ControlSettings,
) -> claim_settings.ClaimSettings:
    return claim_settings.ClaimSettings(
        accepted_age_ms=settings.claim_accepted_age_s * 1000,
        retention_ms=settings.claim_retention_s * 1000,
        running_ms=settings.claim_running_s * 1000,
    )
