"""The port on which a control instance takes operators' calls."""

from typing import Any
from typing import NamedTuple
from typing import Protocol

from cranberrymux.control import command_log
from cranberrymux.control import control_settings
from cranberrymux.control import node_service
from cranberrymux.control import state_machine
from cranberrymux.telemetry import metrics_sink


class ControlParts(NamedTuple):
    """What answers to operators are made of.

    Attributes:
        settings: The instance's settings.
        machine: The agreed state; to be read only.
        log: Commits changes.
        service: Owns the directory and the counters.
        metrics: Takes metrics.
        reactor: The reactor to use.
    """

    settings: control_settings.ControlSettings
    machine: state_machine.StateMachine
    log: command_log.CommandLog
    service: node_service.NodeService
    metrics: metrics_sink.MetricsSink
    reactor: Any


class OperatorPort(Protocol):
    """Opens the port."""

    def listen(self, parts: ControlParts) -> None:
        """Begins to take calls.

        Raises:
            CannotListenError: The port is taken.
        """
