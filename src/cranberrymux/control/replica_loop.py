"""Executes a replica's actions: sends, writes, applies and snapshots."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import functools
import time
from typing import Any

import structlog
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import threads
from twisted.python import failure

from cranberrymux.consensus import actions as actions_module
from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import entry as entry_module
from cranberrymux.consensus import write
from cranberrymux.control import peer_clients
from cranberrymux.control import proposals as proposals_module
from cranberrymux.control import state_machine
from cranberrymux.storage import failure as storage_failure
from cranberrymux.storage import folder as folder_module
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink

_MS_PER_S = 1000
# Pause between tries to write to a disk that is full.
MINIMUM_ROOM_WAIT_S = 0.05
MAXIMUM_ROOM_WAIT_S = 0.4


class ReplicaLoop:
    """Owns the data folder and the state machine of one replica.

    A thread writes and syncs one batch at a time; writes that are queued
    meanwhile form the next batch. While the disk is full a batch is tried again
    and again, and the replica neither leads nor confirms anything.
    """

    def __init__(
        self,
        driver: driver_module.LogDriver,
        folder: folder_module.Folder,
        *,
        machine: state_machine.StateMachine,
        peers: peer_clients.PeerClients,
        reactor: Any,
        metrics: metrics_sink.MetricsSink,
        report_storage_failure: Callable[[str], None],
        report_unexpected_error: Callable[[str], None],
    ) -> None:
        """Takes over an open data folder; `stop` closes it.

        Args:
            driver: The replica.
            folder: The open and restored data folder.
            machine: Applies committed commands.
            peers: Connections to the other control instances.
            reactor: The Twisted reactor to use.
            metrics: Receives the sync times.
            report_storage_failure: Called once with the reason if the storage
                fails other than for want of room; the process must then exit.
            report_unexpected_error: Called once with the error if an
                unexpected one occurs; the process must then exit.
        """
        self._driver = driver
        self._folder = folder
        self._machine = machine
        self._peers = peers
        self._reactor = reactor
        self._metrics = metrics
        self._report_storage_failure = report_storage_failure
        self._report_unexpected_error = report_unexpected_error
        self._is_stopped = False
        self._events = structlog.get_logger()
        self._room_wait_s = 0.0
        self.proposals = proposals_module.Proposals()

    @property
    def has_applied_commands(self) -> bool:
        """True if any command was ever accepted, as far as known here."""
        return self._machine.now_ms > 0

    def stop(self) -> None:
        """Closes the data folder; later actions are ignored."""
        self._is_stopped = True
        self._folder.close()

    def execute(self, actions: actions_module.Actions) -> None:
        """Executes what the driver asked for.

        A state machine that fails to apply an entry would diverge from the
        other replicas permanently, so the process then exits. Callers are
        answered last, when all entries are applied, since an answer may lead
        to a new proposal.
        """
        if self._is_stopped:
            return
        try:
            answers = self._send_and_apply(actions)
        except Exception as error:  # The state may be inconsistent.
            self.fail(error)
            return
        self._start_sync()
        if actions.snapshot_to_install is not None:
            self.proposals.mark_undecided_up_to(
                actions.snapshot_to_install.log_index
            )
        for entry, answer in answers:
            self.proposals.resolve(entry, answer)

    def fail(self, error: BaseException) -> None:
        """Stops and reports an unexpected error; only the first is reported."""
        if not self._is_stopped:
            self._is_stopped = True
            self._report_unexpected_error(f"{type(error).__name__}: {error}")

    def fail_from_deferred(self, reason: failure.Failure) -> None:
        """Stops for the failure of a `Deferred`; for use as an errback."""
        self.fail(reason.value or RuntimeError("unknown"))

    def _send_and_apply(
        self, actions: actions_module.Actions
    ) -> list[tuple[entry_module.Entry, Any]]:
        for message in actions.outgoing:
            self._peers.deliver(
                instance_name(message.recipient), message.payload
            )
        if (
            actions.snapshot_to_install is not None
            and actions.snapshot_to_install.data
        ):
            self._machine.restore(actions.snapshot_to_install.data)
        answers = [(entry, self._apply(entry)) for entry in actions.committed]
        if actions.snapshot_wanted:
            index = self._driver.replica.journal.applied_index
            defer.ensureDeferred(
                self._take_snapshot(index, self._machine.dump())
            )
        return answers

    def _apply(self, entry: entry_module.Entry) -> Any:
        if entry.kind is not entry_module.EntryKind.COMMAND:
            return None
        return self._machine.apply(entry.payload)

    async def _take_snapshot(
        self, log_index: int, parts: Iterator[bytes]
    ) -> None:
        """Encodes a snapshot in parts, so that heartbeats are not delayed.

        A long encoding in one step would let the leader lease expire.
        """
        encoded = []
        for part in parts:
            encoded.append(part)
            await task.deferLater(self._reactor, 0)
        if self._is_stopped:
            return
        data = b"".join(encoded)
        encoded.clear()
        self.execute(self._driver.store_snapshot(now_s(), log_index, data))

    def _start_sync(self) -> None:
        batch = self._driver.next_batch()
        if not batch or self._is_stopped:
            return
        self._sync(batch, now_s(), functools.partial(self._folder.apply, batch))

    def _sync(
        self,
        batch: Sequence[write.Write],
        started_s: float,
        make_durable: Callable[[], storage_failure.StorageError | None],
    ) -> None:
        syncing = threads.deferToThreadPool(
            self._reactor, self._reactor.getThreadPool(), make_durable
        )
        syncing.addCallback(self._finish_batch, batch, started_s)
        syncing.addErrback(self.fail_from_deferred)

    def _finish_batch(
        self,
        result: storage_failure.StorageError | None,
        batch: Sequence[write.Write],
        started_s: float,
    ) -> None:
        if self._is_stopped:
            return
        if result is not None and result.is_disk_full:
            self._wait_for_room(result, batch, started_s)
            return
        finished_s = now_s()
        if self._room_wait_s:
            self._room_wait_s = 0.0
            self._events.info("disk-has-room", after_s=finished_s - started_s)
        self._metrics.timing(
            metric.Metric.SYNC_TIME, (finished_s - started_s) * _MS_PER_S
        )
        actions = self._driver.batch_done(finished_s, batch, result)
        if result is not None:
            self._report_storage_failure(
                f"{result.reason.value}: {result.path}: {result.detail}"
            )
            return
        self.execute(actions)

    def _wait_for_room(
        self,
        result: storage_failure.StorageError,
        batch: Sequence[write.Write],
        started_s: float,
    ) -> None:
        """Has a batch that found the disk full tried again after a while."""
        if not self._room_wait_s:
            self._events.warning(
                "disk-full", path=result.path, detail=result.detail
            )
            self._driver.batch_delayed()
        self._room_wait_s = min(
            max(2 * self._room_wait_s, MINIMUM_ROOM_WAIT_S), MAXIMUM_ROOM_WAIT_S
        )
        self._reactor.callLater(
            self._room_wait_s, self._resume, batch, started_s
        )

    def _resume(self, batch: Sequence[write.Write], started_s: float) -> None:
        if not self._is_stopped:
            self._sync(batch, started_s, self._folder.resume)


def now_s() -> float:
    """Returns seconds on a clock that also runs while the system sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def instance_name(replica_id: str) -> str:
    """Returns the name in a replica id, which is `name@incarnation`."""
    return replica_id.partition("@")[0]
