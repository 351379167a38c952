"""Merges the endpoint records of several control instances."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any


def find_newest(
    statuses: Sequence[Mapping[str, Any]], service: str = ""
) -> list[Mapping[str, Any]]:
    """Returns the newest record of each endpoint, sorted by endpoint id.

    Args:
        statuses: Statuses of the control instances that answered.
        service: Service whose endpoints to return; empty for all services.
    """
    records = [record for status in statuses for record in status["endpoints"]]
    newest = {
        record["endpoint_id"]: record
        for record in sorted(records, key=_revision_key)
    }
    return [
        record
        for _, record in sorted(newest.items())
        if service in ("", record["service"])
    ]


def _revision_key(record: Mapping[str, Any]) -> tuple[int, int]:
    return record["incarnation"], record["sequence"]
