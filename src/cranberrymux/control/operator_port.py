"""Interface for opening the operator port of a control instance."""

from typing import Any
from typing import NamedTuple
from typing import Protocol

from cranberrymux.control import command_log
from cranberrymux.control import control_settings
from cranberrymux.control import node_service
from cranberrymux.control import state_machine
from cranberrymux.telemetry import metrics_sink


class ControlParts(NamedTuple):
    """Parts of a control instance that its operator port needs.

    Attributes:
        settings: The instance's settings.
        machine: The replicated state; changed only by commands of `log`.
        log: Commits changes.
        service: Owns the directory and the counters.
        metrics: Receives the metrics of operators' requests.
        reactor: Twisted reactor on which the port is opened.
    """

    settings: control_settings.ControlSettings
    machine: state_machine.StateMachine
    log: command_log.CommandLog
    service: node_service.NodeService
    metrics: metrics_sink.MetricsSink
    reactor: Any


class OperatorPort(Protocol):
    """Serves operators; each HTTP interface implements it once."""

    def listen(self, parts: ControlParts) -> None:
        """Opens the operator port of the settings.

        Args:
            parts: Parts of the instance, to read its state and to commit
                changes.

        Raises:
            CannotListenError: The port is in use.
        """
