"""Builds the quarantine of a node."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from cranberrymux.decisions.quarantine import quarantine
from cranberrymux.decisions.quarantine import quarantine_settings
from cranberrymux.node import clock as clock_module
from cranberrymux.node import peer_request
from cranberrymux.node import quarantine_task
from cranberrymux.node import suspect_reporter


class NodeIdentity(NamedTuple):
    """Names a node in its reports.

    Attributes:
        node_id: Name of the node.
        incarnation: Start time of its process in Unix milliseconds.
        cluster_key: Proves to other nodes that it is one.
    """

    node_id: str
    incarnation: int
    cluster_key: bytes


def make(
    identity: NodeIdentity,
    system_clock: clock_module.Clock,
    reactor: Any,
    get_clients: Callable[[], Sequence[suspect_reporter.ReportClient]],
    send_to_siblings: Callable[[peer_request.PeerMessage], None],
) -> quarantine_task.QuarantineTask:
    """Returns the quarantine of a node without records.

    Args:
        identity: Names the node in its reports.
        system_clock: The node's clocks.
        reactor: Opens connections and schedules reports.
        get_clients: Returns the connections to the control instances.
        send_to_siblings: Sends a message to the neighbors among the
            siblings.
    """
    reporter = suspect_reporter.SuspectReporter(
        get_clients,
        f"{identity.node_id}#{identity.incarnation}",
        reactor,
        system_clock,
    )
    return quarantine_task.QuarantineTask(
        quarantine.Quarantine(
            quarantine_settings.QuarantineSettings(),
            identity.node_id,
            identity.incarnation,
        ),
        system_clock,
        reactor,
        reporter,
        send_to_siblings,
        identity.cluster_key,
    )
