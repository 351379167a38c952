"""Carries out what a replica asks for: messages, disk, state machine."""

from collections.abc import Callable
from collections.abc import Iterator
import time
from typing import Any

from twisted.internet import defer
from twisted.internet import task
from twisted.internet import threads
from twisted.python import failure

from cranberrymux.consensus import driver as driver_module
from cranberrymux.consensus import entry as entry_module
from cranberrymux.control import peer_clients
from cranberrymux.control import proposals as proposals_module
from cranberrymux.control import state_machine
from cranberrymux.storage import folder as folder_module
from cranberrymux.telemetry import metric
from cranberrymux.telemetry import metrics_sink

_MS_PER_S = 1000


class ReplicaLoop:
    """Owns the disk and the state machine of one replica.

    Writes are synced in a thread, one batch at a time; what comes up
    meanwhile forms the next batch.
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
        report_failure: Callable[[str], None],
        report_fault: Callable[[str], None],
    ) -> None:
        """Keeps the parts.

        Args:
            driver: The replica.
            folder: The open and restored data folder.
            machine: Applies committed commands.
            peers: Connections to the other control instances.
            reactor: The reactor to use.
            metrics: Takes metrics.
            report_failure: Called once if the disk fails; the process must
                then end.
            report_fault: Called once for an error that was not foreseen; the
                process must then end.
        """
        self._driver = driver
        self._folder = folder
        self._machine = machine
        self._peers = peers
        self._reactor = reactor
        self._metrics = metrics
        self._report_failure = report_failure
        self._report_fault = report_fault
        self._is_stopped = False
        self.proposals = proposals_module.Proposals()

    def stop(self) -> None:
        """Gives the folder back; nothing is written any more."""
        self._is_stopped = True
        self._folder.close()

    def act(self, actions: driver_module.Actions) -> None:
        """Does what the driver asked for.

        A state machine that fails to apply an entry would differ from the
        others for good, so the process then ends. Authors are answered last,
        when the state is whole, since an answer may lead to a new proposal.
        """
        if self._is_stopped:
            return
        try:
            answers = self._advance(actions)
        except Exception as error:  # Whatever it is, the state is in doubt.
            self.fail(error)
            return
        self._sync()
        if actions.snapshot_to_install is not None:
            self.proposals.forget_up_to(actions.snapshot_to_install.log_index)
        for entry, answer in answers:
            self.proposals.settle(entry, answer)

    def fail(self, error: BaseException) -> None:
        """Stops for an error that was not foreseen."""
        if not self._is_stopped:
            self._is_stopped = True
            self._report_fault(f"{type(error).__name__}: {error}")

    def fail_for(self, reason: failure.Failure) -> None:
        """Stops for the error of a `Deferred`."""
        self.fail(reason.value or RuntimeError("unknown"))

    def _advance(
        self, actions: driver_module.Actions
    ) -> list[tuple[entry_module.Entry, Any]]:
        for one in actions.outgoing:
            self._peers.deliver(name_of(one.recipient), one.payload)
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
        """Encodes a snapshot between other work, so that no lease ends."""
        taken = []
        for part in parts:
            taken.append(part)
            await task.deferLater(self._reactor, 0)
        if self._is_stopped:
            return
        data = b"".join(taken)
        self.act(self._driver.snapshot_taken(now_s(), log_index, data))

    def _sync(self) -> None:
        batch = self._driver.next_batch()
        if not batch or self._is_stopped:
            return
        done = threads.deferToThreadPool(
            self._reactor,
            self._reactor.getThreadPool(),
            self._folder.apply,
            batch,
        )
        done.addCallback(self._finish_batch, batch, now_s())
        done.addErrback(self.fail_for)

    def _finish_batch(self, result: Any, batch: Any, begun_s: float) -> None:
        if self._is_stopped:
            return
        at_s = now_s()
        self._metrics.timing(
            metric.Metric.SYNC_TIME, (at_s - begun_s) * _MS_PER_S
        )
        actions = self._driver.batch_done(at_s, batch, result)
        if result is not None:
            self._report_failure(
                f"{result.reason.value}: {result.path}: {result.detail}"
            )
            return
        self.act(actions)


def now_s() -> float:
    """Seconds that also count while the instance sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def name_of(replica_id: str) -> str:
    """The instance's name in a replica id."""
    return replica_id.partition("@")[0]
