"""What the shared state is told of one death."""

from typing import NamedTuple


class DeathReport(NamedTuple):
    """One backend server died while a key was in flight on it.

    The shared state counts distinct reports of a key and answers with the
    count, which goes to `Quarantine.merge_report` at every node of the service.

    Attributes:
        key: One of `Fingerprint.keys`.
        endpoint_id: The endpoint that died.
        incarnation: Start time of the endpoint's node.
        death: Count of the deaths that this node has seen, from 1.
        was_sole: True if it was the only suspect in flight.
    """

    key: str
    endpoint_id: str
    incarnation: int
    death: int
    was_sole: bool
