"""Tells siblings and control instances what is known of suspects."""

from collections.abc import Callable
from collections.abc import Sequence

import structlog

from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.node import peer_request
from cranberrymux.node import suspect_log
from cranberrymux.node import suspect_message
from cranberrymux.node import suspect_reporter
from cranberrymux.telemetry import event

_Reports = Sequence[suspect_report.SuspectReport]

_log = structlog.get_logger()


class SuspectSender:
    """Sends reports to the neighbors among the siblings and to control."""

    def __init__(
        self,
        reporter: suspect_reporter.SuspectReporter,
        send_to_siblings: Callable[[peer_request.PeerMessage], None],
        cluster_key: bytes,
    ) -> None:
        """Sends nothing yet.

        Args:
            reporter: Sends reports to the control instances.
            send_to_siblings: Sends a message to the neighbors among the
                siblings, who pass it on.
            cluster_key: Cluster key, which proves that the sender is a node.
        """
        self._reporter = reporter
        self._send_to_siblings = send_to_siblings
        self._cluster_key = cluster_key

    def share(self, reports: _Reports, cause: str) -> None:
        """Logs reports and sends them to siblings and control instances.

        Args:
            reports: What is new.
            cause: Why it is, for the log.
        """
        _log.info(
            event.Event.SUSPECTS_SHARED,
            cause=cause,
            **suspect_log.describe(reports),
        )
        self.notify_siblings(reports)
        self._reporter.add(reports)

    def notify_siblings(self, reports: _Reports) -> None:
        """Sends reports to the neighbors among the siblings alone."""
        for message in self.encode(reports):
            self._send_to_siblings(message)

    def encode(self, reports: _Reports) -> list[peer_request.PeerMessage]:
        """Returns reports as messages to a sibling."""
        return list(suspect_message.encode(reports, self._cluster_key))
