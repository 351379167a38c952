"""Report to the shared state of the death of a backend server."""

from typing import NamedTuple


class DeathReport(NamedTuple):
    """A backend server died while a call with this key was in flight on it.

    The shared state counts the distinct reports of a key and answers with that
    count, which every node of the service passes to `Quarantine.merge_report`.

    Attributes:
        key: One of `Fingerprint.keys`.
        endpoint_id: The endpoint whose backend server died.
        incarnation: Start time of the endpoint's node.
        death: Serial number of the death at this node, from 1.
        was_sole: True if the call was the only suspect in flight.
    """

    key: str
    endpoint_id: str
    incarnation: int
    death: int
    was_sole: bool
