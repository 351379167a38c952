"""Encodes the reports on suspects that nodes send to their siblings.

Siblings are the other endpoints of the same service. They are told of the
deaths of a backend server and of suspects that ran to their end.
"""

from typing import NamedTuple

from cranberrymux.decisions.quarantine import clear_report
from cranberrymux.decisions.quarantine import death_report
from cranberrymux.models import whole_number
from cranberrymux.node import peer_request

TARGET = b"/cranberrymux/v1/suspect"
HEADER = b"cranberrymux-suspect"
_DEATH = "death"
_CLEAR = "clear"
_DEATH_PART_COUNT = 4
_CLEAR_PART_COUNT = 3
_MAXIMUM_BYTES = 512


class DeathNotice(NamedTuple):
    """A backend server died while a call with this key was in flight on it.

    Attributes:
        key: One of `Fingerprint.keys` of the call.
        death_id: Id of the death; the same in every copy of the report and for
            every call in flight.
        was_sole: True if the call was the only suspect in flight.
    """

    key: str
    death_id: str
    was_sole: bool


def make_death_notice(report: death_report.DeathReport) -> DeathNotice:
    """Makes the message content from a death report of this node."""
    death_id = f"{report.endpoint_id}#{report.incarnation}#{report.death}"
    return DeathNotice(report.key, death_id, report.was_sole)


def encode_death_notice(
    death: DeathNotice, cluster_key: bytes
) -> peer_request.PeerMessage:
    """Returns the message that reports a death."""
    text = f"{_DEATH};{death.key};{death.death_id};{int(death.was_sole)}"
    return peer_request.PeerMessage(
        TARGET, (HEADER, text.encode()), cluster_key
    )


def encode_clear_report(
    report: clear_report.ClearReport, cluster_key: bytes
) -> peer_request.PeerMessage:
    """Returns the message that a suspect ran to its end."""
    text = f"{_CLEAR};{report.key};{report.deaths}"
    return peer_request.PeerMessage(
        TARGET, (HEADER, text.encode()), cluster_key
    )


def decode(value: bytes) -> DeathNotice | clear_report.ClearReport | None:
    """Decodes the header of a message; returns None if it is not valid."""
    if len(value) > _MAXIMUM_BYTES:
        return None
    parts = value.decode("latin-1").split(";")
    if parts[0] == _DEATH and len(parts) == _DEATH_PART_COUNT:
        return DeathNotice(parts[1], parts[2], parts[3] == "1")
    if parts[0] != _CLEAR or len(parts) != _CLEAR_PART_COUNT:
        return None
    number = whole_number.decode(parts[2].encode("latin-1"))
    if number is None:
        return None
    return clear_report.ClearReport(parts[1], number)
