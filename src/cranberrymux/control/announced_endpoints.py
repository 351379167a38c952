"""Endpoints that each node announced last, for heartbeats without them."""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from cranberrymux.models import endpoint_record
from cranberrymux.wire import endpoint_conversion
from cranberrymux.wire.gen.messages import ttypes


class _Announced(NamedTuple):
    incarnation: int
    records: tuple[endpoint_record.EndpointRecord, ...]


class AnnouncedEndpoints:
    """Reads the endpoints of heartbeats, which name them only if they changed.

    A node repeats its record, about half of a heartbeat, only to an instance
    that does not keep it.
    """

    def __init__(self) -> None:
        """Starts without nodes."""
        self._by_node: dict[str, _Announced] = {}

    def read(
        self, heartbeat: Any
    ) -> tuple[endpoint_record.EndpointRecord, ...] | None:
        """Returns the endpoints of a heartbeat; None if they are not known.

        Raises:
            Refused: A record is not valid.
        """
        known = self._by_node.get(heartbeat.node_id)
        if known is not None and known.incarnation != heartbeat.incarnation:
            known = None
        if heartbeat.has_same_endpoints:
            return known.records if known is not None else None
        try:
            records = tuple(
                map(endpoint_conversion.decode_endpoint, heartbeat.endpoints)
            )
        except ValueError:
            raise ttypes.Refused(reason="bad endpoint") from None
        # A heartbeat of an earlier connection may arrive late. The lease of the
        # newer record would not be renewed by what it names.
        if known is None or _newest(records) >= _newest(known.records):
            self._by_node[heartbeat.node_id] = _Announced(
                heartbeat.incarnation, records
            )
        return records

    def remove(self, node_ids: Iterable[str]) -> None:
        """Forgets nodes that are gone."""
        for node_id in node_ids:
            self._by_node.pop(node_id, None)


def _newest(
    records: tuple[endpoint_record.EndpointRecord, ...],
) -> tuple[int, int]:
    return max(
        ((record.incarnation, record.sequence) for record in records),
        default=(0, 0),
    )
