"""Interface of the state that nodes share."""

from typing import Protocol

from cranberrymux.decisions.quarantine import suspect_report
from cranberrymux.models import endpoint_record


class Directory(Protocol):
    """Distributes endpoint records and quarantine reports among nodes.

    It stands for the control instances.
    """

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Sends an endpoint record to every caller of its service."""

    def report(
        self, service: str, report: suspect_report.SuspectReport
    ) -> None:
        """Merges a quarantine report into every node of the service."""
