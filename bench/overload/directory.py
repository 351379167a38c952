"""News of endpoints and the shared counts of deaths."""

from typing import Protocol

from cranberrymux.decisions.quarantine import clear_report
from cranberrymux.decisions.quarantine import death_report
from cranberrymux.models import endpoint_record


class Directory(Protocol):
    """What nodes tell one another through the control instances."""

    def announce(self, record: endpoint_record.EndpointRecord) -> None:
        """Tells every caller of an endpoint."""

    def report(
        self,
        service: str,
        report: death_report.DeathReport | clear_report.ClearReport,
    ) -> None:
        """Counts a death or a clean run at every node of the service."""
