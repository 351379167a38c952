"""Sends the known suspects to siblings that have started."""

from collections.abc import Sequence

from cranberrymux.models import endpoint_record
from cranberrymux.node import quarantine_task
from cranberrymux.node import siblings as siblings_module


def update_siblings(
    siblings: siblings_module.Siblings,
    quarantine: quarantine_task.QuarantineTask,
    records: Sequence[endpoint_record.EndpointRecord],
) -> None:
    """Applies changed records and sends the suspects to started siblings.

    Args:
        siblings: The other endpoints of the service.
        quarantine: Knows the suspects.
        records: The changed records of the service's endpoints.
    """
    started = siblings.update(records)
    if not started:
        return
    for message in quarantine.encode_latest():
        for sibling in started:
            siblings.send(sibling, message)
