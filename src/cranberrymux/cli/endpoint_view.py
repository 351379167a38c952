"""Endpoints as all control instances together see them."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any


def find_newest(
    statuses: Sequence[Mapping[str, Any]], service: str = ""
) -> list[Mapping[str, Any]]:
    """Returns the newest record of each endpoint, by endpoint id.

    Args:
        statuses: What the control instances that answered see.
        service: Only endpoints of this service; empty for all.
    """
    records = [one for status in statuses for one in status["endpoints"]]
    newest = {one["endpoint_id"]: one for one in sorted(records, key=_age_key)}
    return [
        one
        for _, one in sorted(newest.items())
        if service in ("", one["service"])
    ]


def _age_key(record: Mapping[str, Any]) -> tuple[int, int]:
    return record["incarnation"], record["sequence"]
